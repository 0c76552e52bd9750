#ifndef CYCLAMENRUN_LINK_FIXTURE_HPP
#define CYCLAMENRUN_LINK_FIXTURE_HPP

#include "link_client.hpp"
#include "link_loop.hpp"
#include "link_server.hpp"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Timeout that is reached only when a test fails. */
constexpr std::chrono::seconds test_timeout{20};

inline Poco::Net::SocketAddress any_port()
{
    return {"127.0.0.1", 0};
}

/** Records the frames and the ends that a client receives on a stream. */
class received_answer
{
public:
    client_handlers handlers()
    {
        return {[this](std::string frame) {
                    const std::lock_guard lock(mutex_);
                    frames_.push_back(std::move(frame));
                    changed_.notify_all();
                },
                [this](stream_end how) {
                    const std::lock_guard lock(mutex_);
                    ends_.push_back(how);
                    changed_.notify_all();
                }};
    }

    std::optional<stream_end> wait_end()
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, test_timeout,
                          [this] { return !ends_.empty(); });
        return ends_.empty() ? std::nullopt : std::optional(ends_.front());
    }

    bool wait_frames(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, test_timeout, [this, count] {
            return frames_.size() >= count;
        });
    }

    std::vector<std::string> frames() const
    {
        const std::lock_guard lock(mutex_);
        return frames_;
    }

    std::size_t ends() const
    {
        const std::lock_guard lock(mutex_);
        return ends_.size();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> frames_;
    std::vector<stream_end> ends_;
};

/** Counts events of one kind across threads. */
class event_count
{
public:
    void add()
    {
        const std::lock_guard lock(mutex_);
        ++count_;
        changed_.notify_all();
    }

    bool wait(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, test_timeout,
                                 [this, count] { return count_ >= count; });
    }

    std::size_t count() const
    {
        const std::lock_guard lock(mutex_);
        return count_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::size_t count_ = 0;
};

/** Waits until the loop has run all tasks that were posted before. */
inline void wait_for_posted_tasks(link_loop& loop)
{
    event_count done;
    loop.post([&done] { done.add(); });
    done.wait(1);
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_FIXTURE_HPP
