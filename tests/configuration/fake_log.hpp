#ifndef CYCLAMENRUN_TESTS_FAKE_LOG_HPP
#define CYCLAMENRUN_TESTS_FAKE_LOG_HPP

#include "platform_log.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace cyclamenrun
{

/** What happens to one append. */
enum class append_fate : std::uint8_t {
    kept,
    answer_lost,  ///< kept, but the caller hears nothing
    request_lost, ///< neither kept nor answered
    delayed,      ///< kept once release() is called; no answer
    duplicated,   ///< kept twice
};

/** The platform's log in memory, with its faults. */
class fake_log : public platform_log
{
public:
    tl::expected<std::uint64_t, log_error>
    append(std::string_view data) override
    {
        const std::lock_guard lock(mutex_);
        ++appends_;
        if (out_)
            return tl::unexpected(log_error{log_failure::unavailable, {}, 0});
        const append_fate fate = next_fate();
        if (fate == append_fate::delayed)
            delayed_.emplace_back(data);
        if (fate == append_fate::delayed || fate == append_fate::request_lost)
            return tl::unexpected(log_error{log_failure::timed_out, {}, 0});
        records_.emplace_back(data);
        const std::uint64_t offset = records_.size() - 1;
        if (fate == append_fate::duplicated)
            records_.emplace_back(data);
        appended_.notify_all();
        if (fate == append_fate::answer_lost)
            return tl::unexpected(log_error{log_failure::timed_out, {}, 0});
        return offset;
    }

    tl::expected<log_page, log_error>
    read(std::uint64_t from, std::uint32_t max, milliseconds wait) override
    {
        std::unique_lock lock(mutex_);
        ++reads_;
        if (out_)
            return tl::unexpected(log_error{log_failure::unavailable, {}, 0});
        if (from < first_retained_)
            return tl::unexpected(
                log_error{log_failure::retained_away, {}, first_retained_});
        const auto has_news = [&] {
            return interrupted_ || from < records_.size();
        };
        if (wait > milliseconds(0))
            appended_.wait_for(lock, wait, has_news);
        log_page page{first_retained_, records_.size(), {}};
        for (std::uint64_t offset = from;
             offset < records_.size() && page.records.size() < max; ++offset)
            page.records.push_back({offset, records_[offset]});
        return page;
    }

    /** Fates of the appends to come; after them all are kept. */
    void expect(append_fate fate)
    {
        const std::lock_guard lock(mutex_);
        fates_.push_back(fate);
    }

    /** Appends that were under way all the time arrive. */
    void release()
    {
        const std::lock_guard lock(mutex_);
        for (auto& data : delayed_)
            records_.push_back(std::move(data));
        delayed_.clear();
        appended_.notify_all();
    }

    void set_out(bool out)
    {
        const std::lock_guard lock(mutex_);
        out_ = out;
    }

    /** The retention of all records before the offset ends. */
    void retain_from(std::uint64_t offset)
    {
        const std::lock_guard lock(mutex_);
        first_retained_ = std::max(first_retained_, offset);
    }

    /** Lets waiting reads return, so that a tail can stop at once. */
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
    append_fate next_fate()
    {
        if (fates_.empty())
            return append_fate::kept;
        const append_fate fate = fates_.front();
        fates_.pop_front();
        return fate;
    }

    mutable std::mutex mutex_;
    std::condition_variable appended_;
    std::deque<std::string> records_;
    std::deque<std::string> delayed_;
    std::deque<append_fate> fates_;
    std::uint64_t first_retained_ = 0;
    bool out_ = false;
    bool interrupted_ = false;
    std::uint64_t appends_ = 0;
    std::uint64_t reads_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_FAKE_LOG_HPP
