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

/** A frame received on a stream to an agent, or the loss of the stream. */
struct relay_event {
    stream_number stream = 0;
    bool lost = false;
    bool request_may_have_run = false; ///< only if lost
    std::string frame;                 ///< only if not lost
};

/**
 * Queues events from the links' threads for the thread that serves a caller.
 * Both sides share ownership, since an event can arrive after the caller has
 * been served. The streams' flow-control windows bound the size of the queue.
 */
class relay_mailbox
{
public:
    void put(relay_event event);
    /** Waits for the next event; returns nothing if none comes in time. */
    std::optional<relay_event> take(time_point deadline);

private:
    std::mutex mutex_;
    std::condition_variable arrived_;
    std::deque<relay_event> events_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_MAILBOX_HPP
