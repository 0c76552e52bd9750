#ifndef CYCLAMENRUN_CONFIGURATION_BOOTSTRAP_HPP
#define CYCLAMENRUN_CONFIGURATION_BOOTSTRAP_HPP

#include "clock.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace cyclamenrun
{

/** What a bootstrap asks of its entry. */
struct configuration_bootstrap_hooks {
    std::function<bool()> ready;
    /** The platform's log has failed to answer. */
    std::function<bool()> log_is_out;
    /** Asks peers for their state; true if one was taken. */
    std::function<bool()> ask_peers;
};

/**
 * Gets a fresh entry its first configuration when the log is out.
 *
 * Guards against an outage of the log during which VMs are replaced: without
 * it each new entry would stay unready until the log is back, and in the end
 * all would. Ends by itself once the entry has a configuration.
 */
class configuration_bootstrap
{
public:
    explicit configuration_bootstrap(configuration_bootstrap_hooks hooks);
    configuration_bootstrap(const configuration_bootstrap&) = delete;
    configuration_bootstrap& operator=(const configuration_bootstrap&) = delete;
    ~configuration_bootstrap();

private:
    void run();
    bool stopped_after(milliseconds pause);

    configuration_bootstrap_hooks hooks_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_BOOTSTRAP_HPP
