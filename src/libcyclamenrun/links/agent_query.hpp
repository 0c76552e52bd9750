#ifndef CYCLAMENRUN_AGENT_QUERY_HPP
#define CYCLAMENRUN_AGENT_QUERY_HPP

#include "client_stream.hpp"
#include "clock.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenrun
{

/**
 * A request to an agent with one answer that a thread waits for. The link's
 * callbacks keep the object alive, as they may run after wait() has returned.
 */
class agent_query : public std::enable_shared_from_this<agent_query>
{
public:
    /** Returns the callbacks for the stream of the request. */
    client_handlers handlers();
    /** Sets the stream of the request; null if none could be opened. */
    void set_stream(std::shared_ptr<client_stream> stream);
    /**
     * Waits for the answer. Returns nothing if the stream fails or the
     * deadline passes first; in the latter case the stream is cancelled.
     */
    std::optional<std::string> wait(time_point deadline);

private:
    void end(std::optional<std::string> answer);

    std::mutex mutex_;
    std::condition_variable ended_cv_;
    std::shared_ptr<client_stream> stream_;
    std::optional<std::string> answer_;
    bool ended_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_QUERY_HPP
