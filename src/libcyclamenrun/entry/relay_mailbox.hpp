#ifndef CYCLAMENRUN_RELAY_MAILBOX_HPP
#define CYCLAMENRUN_RELAY_MAILBOX_HPP

#include "clock.hpp"
#include "relay_action.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** What a stream to an agent brought. */
struct relay_event {
    stream_number stream = 0;
    bool lost = false;
    bool request_may_have_left = false; ///< only if lost
    std::string frame;                  ///< only if not lost
};

/**
 * Carries events from the links' threads to the thread that serves a caller.
 * Shared by both, so a late event finds it though the caller has been served.
 * What waits here is bounded by the streams' flow-control windows.
 */
class relay_mailbox
{
public:
    void put(relay_event event);
    /** The next event, or nothing at `deadline`. */
    std::optional<relay_event> take(time_point deadline);

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<relay_event> events_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_MAILBOX_HPP
