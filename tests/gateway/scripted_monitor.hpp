#ifndef CYCLAMENRUN_TESTS_SCRIPTED_MONITOR_HPP
#define CYCLAMENRUN_TESTS_SCRIPTED_MONITOR_HPP

#include "load.pb.h"

#include <Poco/Net/DatagramSocket.h>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenrun::testing_support
{

/** A monitor that answers the datagrams of gateways by a script. */
class scripted_monitor
{
public:
    /** Returns the answer to a request; empty: no answer. */
    using script = std::function<std::optional<v1::MonitorNotice>(
        const v1::MonitorRequest&)>;

    scripted_monitor(const std::string& host, std::uint16_t port,
                     script respond);
    scripted_monitor(const scripted_monitor&) = delete;
    scripted_monitor& operator=(const scripted_monitor&) = delete;
    ~scripted_monitor();

    /** Waits until a matching request arrives; false after ten seconds. */
    bool wait_for(
        const std::function<bool(const v1::MonitorRequest&)>& matches) const;
    std::size_t count_of(
        const std::function<bool(const v1::MonitorRequest&)>& matches) const;

private:
    void serve();

    script respond_;
    Poco::Net::DatagramSocket socket_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<v1::MonitorRequest> received_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

/** Notice that grants a start. */
v1::MonitorNotice start_given(const std::string& id, unsigned slots_taken = 1,
                              double late_streams = 0);
/**
 * Notice that a start is not granted yet. `refused`: the engine leaves and
 * grants no start.
 */
v1::MonitorNotice start_waits(const std::string& id, bool refused = false);
/**
 * Notice that a start is not granted: the request is late, and teams that hold
 * less memory are waiting as well.
 */
v1::MonitorNotice start_passed_over(const std::string& id);

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_SCRIPTED_MONITOR_HPP
