#ifndef CYCLAMENRUN_TESTS_FAKE_LINK_HPP
#define CYCLAMENRUN_TESTS_FAKE_LINK_HPP

#include "virtual_time.hpp"

#include <functional>
#include <vector>

namespace cyclamenrun::faults
{

/**
 * One direction of a link between an entry and an agent. Delivers messages in
 * order with 1 ms of latency. While it is stalled, messages are queued, as in
 * the sockets of a frozen peer or a congested link, and arrive late.
 */
class fake_link
{
public:
    explicit fake_link(virtual_time& time) : time_(time) {}

    void send(std::function<void()> message)
    {
        if (blocked()) {
            // Delivered in order with the connection's other messages, after
            // the connection recovers.
            time_.after(time_left(blocked_until_, time_.now()) +
                            milliseconds(2),
                        std::move(message));
            return;
        }
        if (stalled()) {
            queued_.push_back(std::move(message));
            return;
        }
        time_.after(milliseconds(1), [this, message = std::move(message)] {
            if (stalled())
                queued_.push_back(message);
            else
                message();
        });
    }

    /**
     * Blocks the connection for `pause`. A new connection, made by reconnect(),
     * carries messages at once; they overtake those still in transit.
     */
    void block(milliseconds pause) { blocked_until_ = time_.now() + pause; }
    void reconnect() { blocked_until_ = time_point{}; }
    bool blocked() const { return time_.now() < blocked_until_; }

    bool stalled() const { return stalls_ > 0; }
    void stall() { ++stalls_; }
    void resume()
    {
        if (--stalls_ > 0)
            return;
        std::vector<std::function<void()>> late;
        late.swap(queued_);
        for (auto& message : late)
            time_.after(milliseconds(1), std::move(message));
    }

private:
    virtual_time& time_;
    int stalls_ = 0;
    time_point blocked_until_{};
    std::vector<std::function<void()>> queued_;
};

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_FAKE_LINK_HPP
