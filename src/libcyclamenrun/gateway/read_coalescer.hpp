#ifndef CYCLAMENRUN_READ_COALESCER_HPP
#define CYCLAMENRUN_READ_COALESCER_HPP

#include "feed_history.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cyclamenrun
{

/** How a feed is read for many. */
struct coalescer_pace {
    /** Calls that come so soon after the first share its read. */
    milliseconds gather{10};
    /** Least time between two reads. */
    milliseconds pause{0};
    /** Longest time for which the directory is asked to hold a read. */
    milliseconds longest_wait{30000};
    /** A read that takes so much longer than its wait is not waited for. */
    milliseconds patience{500};
    /** The same for all records, which may come in many pages. */
    milliseconds newest_patience{2500};
    milliseconds first_retry{100};
    milliseconds longest_retry{400};
    std::size_t most_changes = 4096;
    std::size_t most_calls = 2048;
};

/**
 * Answers the calls of many readers of one feed with as few reads of the
 * directory as possible. A call is answered only by a read that was sent after
 * the call had come: whoever sent the call knows then all that the directory
 * held when it did so, whatever the delays and pauses on the way. A lease may
 * rest on that without any clock but the caller's.
 *
 * No I/O; time comes as an argument.
 */
template <typename Traits>
class read_coalescer
{
public:
    using item = typename Traits::item;
    using page = directory_page<item>;
    /** Calls that are to be told the same share it. */
    using shared_page = std::shared_ptr<const page>;
    using call_id = std::uint64_t;

    struct answer {
        call_id call;
        tl::expected<shared_page, directory_problem> result;
    };

    struct read {
        std::optional<std::uint64_t> from; ///< empty: the newest of each key
        milliseconds wait;
    };

    explicit read_coalescer(const coalescer_pace& pace)
        : pace_(pace), history_(pace.most_changes), retry_in_(pace.first_retry)
    {
    }

    /** Empty: there are too many calls. `from` empty: the caller knows none. */
    std::optional<call_id> ask(std::optional<std::uint64_t> from,
                               milliseconds wait, time_point now)
    {
        if (calls_.size() >= pace_.most_calls)
            return std::nullopt;
        calls_[++last_call_] = {from, now, now + wait, false};
        return last_call_;
    }

    /** The caller has left. */
    void forget(call_id call) { calls_.erase(call); }

    std::size_t calls() const { return calls_.size(); }
    bool reading() const { return reading_; }

    /** When the next read is due; empty: none is, or one is under way. */
    std::optional<time_point> next_read() const
    {
        if (reading_ || calls_.empty())
            return std::nullopt;
        return std::max(calls_.begin()->second.asked + pace_.gather,
                        not_before_);
    }

    /** The read that is to be sent now. */
    read begin_read(time_point now)
    {
        reading_ = true;
        not_before_ = now + pace_.pause;
        read result{std::nullopt, pace_.longest_wait};
        for (auto& [id, call] : calls_) {
            call.covered = true;
            result.wait =
                std::min(result.wait, left_until(call.wait_until, now));
        }
        if (history_.known())
            result.from = history_.next_offset();
        else
            result.wait = milliseconds(0);
        give_up_at_ = now + result.wait +
                      (result.from ? pace_.patience : pace_.newest_patience);
        return result;
    }

    /** Answers to those calls that this read can answer. */
    std::vector<answer>
    end_read(const tl::expected<page, directory_problem>& result,
             time_point now)
    {
        reading_ = false;
        if (!result)
            return fail(result.error(), now);
        retry_in_ = pace_.first_retry;
        if (history_.known())
            history_.extend(*result);
        else
            history_.restart(*result);
        std::map<std::optional<std::uint64_t>, outcome> told;
        std::vector<answer> answers;
        for (const auto& [id, call] : calls_) {
            if (!call.covered)
                continue;
            const auto [found, is_new] = told.try_emplace(call.from);
            if (is_new)
                found->second = answer_to(call.from);
            answers.push_back({id, found->second});
        }
        drop_answered(answers);
        return answers;
    }

    /** When the read under way will have taken too long. */
    std::optional<time_point> overdue_at() const
    {
        if (!reading_)
            return std::nullopt;
        return give_up_at_;
    }

    /**
     * The read takes too long: those who wait for it do better to ask
     * elsewhere.
     */
    std::vector<answer> give_up(time_point now)
    {
        if (!reading_ || now < give_up_at_)
            return {};
        return refuse([](const pending_call& each) { return each.covered; });
    }

    /** No more calls can be answered. */
    std::vector<answer> refuse_all(directory_problem why)
    {
        return refuse([](const pending_call&) { return true; }, why);
    }

private:
    struct pending_call {
        std::optional<std::uint64_t> from;
        time_point asked;
        /** What it has waited for the read before counts too, and no more: a
         * read that does not wait would be followed by one for the calls that
         * came during it, without end. */
        time_point wait_until;
        /** It had come when the read under way was sent. */
        bool covered = false;
    };

    using outcome = tl::expected<shared_page, directory_problem>;

    static milliseconds left_until(time_point end, time_point now)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(end - now);
        return std::max(left, milliseconds(0));
    }

    outcome answer_to(std::optional<std::uint64_t> from) const
    {
        if (!from)
            return std::make_shared<const page>(history_.newest());
        auto news = history_.since(*from);
        if (!news) {
            // Behind the directory's own end: this read told less than is
            // known elsewhere.
            const bool ahead = *from > history_.next_offset();
            return tl::unexpected(ahead ? directory_problem::unavailable
                                        : directory_problem::history_gone);
        }
        return std::make_shared<const page>(std::move(*news));
    }

    std::vector<answer> fail(directory_problem problem, time_point now)
    {
        if (problem == directory_problem::history_gone) {
            history_.forget();
            not_before_ = now;
            return {};
        }
        not_before_ = now + retry_in_;
        retry_in_ = std::min(2 * retry_in_, pace_.longest_retry);
        return refuse([](const pending_call& each) { return each.covered; });
    }

    template <typename Which>
    std::vector<answer>
    refuse(Which which, directory_problem why = directory_problem::unavailable)
    {
        std::vector<answer> answers;
        for (const auto& [id, call] : calls_) {
            if (which(call))
                answers.push_back({id, tl::unexpected(why)});
        }
        drop_answered(answers);
        return answers;
    }

    void drop_answered(const std::vector<answer>& answers)
    {
        for (const auto& each : answers)
            calls_.erase(each.call);
    }

    coalescer_pace pace_;
    feed_history<Traits> history_;
    std::map<call_id, pending_call> calls_; ///< in the order in which they came
    call_id last_call_ = 0;
    bool reading_ = false;
    time_point not_before_{};
    time_point give_up_at_{};
    milliseconds retry_in_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_READ_COALESCER_HPP
