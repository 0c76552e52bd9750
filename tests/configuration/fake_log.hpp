#ifndef CYCLAMENRUN_TESTS_FAKE_LOG_HPP
#define CYCLAMENRUN_TESTS_FAKE_LOG_HPP

#include "platform_log.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace cyclamenrun
{

/** How a fake_log handles one call of append(). */
enum class append_result : std::uint8_t {
    stored,
    answer_lost,  ///< stored, but append() times out
    request_lost, ///< not stored, and append() times out
    delayed,      ///< stored by deliver_delayed(); append() times out
    duplicated,   ///< stored twice
};

/** In-memory log of the platform with fault injection. */
class fake_log : public platform_log
{
public:
    tl::expected<std::uint64_t, log_error>
    append(std::string_view data) override
    {
        const std::lock_guard lock(mutex_);
        ++appends_;
        if (unavailable_)
            return tl::unexpected(log_error{log_failure::unavailable, {}, 0});
        const append_result result = next_result();
        if (result == append_result::delayed)
            delayed_.emplace_back(data);
        if (result == append_result::delayed ||
            result == append_result::request_lost)
            return tl::unexpected(log_error{log_failure::timed_out, {}, 0});
        records_.emplace_back(data);
        const std::uint64_t offset = records_.size() - 1;
        if (result == append_result::duplicated)
            records_.emplace_back(data);
        appended_.notify_all();
        if (result == append_result::answer_lost)
            return tl::unexpected(log_error{log_failure::timed_out, {}, 0});
        return offset;
    }

    tl::expected<log_page, log_error>
    read(std::uint64_t from, std::uint32_t max, milliseconds wait) override
    {
        std::unique_lock lock(mutex_);
        ++reads_;
        if (unavailable_)
            return tl::unexpected(log_error{log_failure::unavailable, {}, 0});
        if (from < first_retained_)
            return tl::unexpected(
                log_error{log_failure::retained_away, {}, first_retained_});
        const auto has_records = [&] {
            return interrupted_ || from < records_.size();
        };
        if (wait > milliseconds(0))
            appended_.wait_for(lock, wait, has_records);
        log_page page{first_retained_, records_.size(), {}};
        for (std::uint64_t offset = from;
             offset < records_.size() && page.records.size() < max; ++offset)
            page.records.push_back({offset, records_[offset]});
        return page;
    }

    /**
     * Queues the result of a later append. An append without a queued result
     * is stored.
     */
    void queue_result(append_result result)
    {
        const std::lock_guard lock(mutex_);
        results_.push_back(result);
    }

    /** Adds the delayed appends to the log. */
    void deliver_delayed()
    {
        const std::lock_guard lock(mutex_);
        for (auto& data : delayed_)
            records_.push_back(std::move(data));
        delayed_.clear();
        appended_.notify_all();
    }

    void set_unavailable(bool unavailable)
    {
        const std::lock_guard lock(mutex_);
        unavailable_ = unavailable;
    }

    /** Expires all records before the offset. */
    void expire_before(std::uint64_t offset)
    {
        const std::lock_guard lock(mutex_);
        first_retained_ = std::max(first_retained_, offset);
    }

    /** Makes waiting reads return, so that a log_tailer stops at once. */
    void interrupt()
    {
        const std::lock_guard lock(mutex_);
        interrupted_ = true;
        appended_.notify_all();
    }

    std::uint64_t end() const
    {
        const std::lock_guard lock(mutex_);
        return records_.size();
    }
    std::uint64_t first_retained() const
    {
        const std::lock_guard lock(mutex_);
        return first_retained_;
    }
    std::string at(std::uint64_t offset) const
    {
        const std::lock_guard lock(mutex_);
        return records_.at(offset);
    }
    std::uint64_t appends() const
    {
        const std::lock_guard lock(mutex_);
        return appends_;
    }
    std::uint64_t reads() const
    {
        const std::lock_guard lock(mutex_);
        return reads_;
    }

private:
    append_result next_result()
    {
        if (results_.empty())
            return append_result::stored;
        const append_result result = results_.front();
        results_.pop_front();
        return result;
    }

    mutable std::mutex mutex_;
    std::condition_variable appended_;
    std::deque<std::string> records_;
    std::deque<std::string> delayed_;
    std::deque<append_result> results_;
    std::uint64_t first_retained_ = 0;
    bool unavailable_ = false;
    bool interrupted_ = false;
    std::uint64_t appends_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_FAKE_LOG_HPP
