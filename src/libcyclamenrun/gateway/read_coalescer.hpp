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

/** Timing and limits of a read_coalescer. */
struct coalescer_timing {
    /** Calls that arrive within this time of the first share its read. */
    milliseconds batch_window{10};
    /** Least time between two reads. */
    milliseconds pause{0};
    /** Longest time for which the directory holds a read. */
    milliseconds max_wait{30000};
    /** Time after the end of its wait at which a read times out. */
    milliseconds read_timeout{500};
    /** The same for a read of all records, which may have many pages. */
    milliseconds newest_read_timeout{2500};
    milliseconds first_retry_delay{100};
    milliseconds max_retry_delay{400};
    std::size_t max_changes = 4096; ///< kept for later calls
    std::size_t max_calls = 2048;   ///< pending at a time
};

/**
 * Answers the calls of many readers of one feed with as few reads of the
 * directory as possible.
 *
 * A call is answered only by a read that was sent after the call arrived, and
 * that reached the end of the directory's records. The caller then knows every
 * record that the directory held when the call was sent, whatever the delays in
 * between, so a lease can be renewed from the caller's own clock alone.
 *
 * Does no I/O; the current time is passed in.
 */
template <typename Traits>
class read_coalescer
{
public:
    using item = typename Traits::item;
    using page = directory_page<item>;
    /** Shared by calls with the same answer. */
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

    explicit read_coalescer(const coalescer_timing& timing)
        : timing_(timing), history_(timing.max_changes),
          retry_delay_(timing.first_retry_delay)
    {
    }

    /**
     * Adds a call. Returns nothing if too many are pending. An empty `from`
     * requests the newest record of each key.
     */
    std::optional<call_id> add_call(std::optional<std::uint64_t> from,
                                    milliseconds wait, time_point now)
    {
        if (calls_.size() >= timing_.max_calls)
            return std::nullopt;
        calls_[++last_call_id_] = {from, now, now + wait, false};
        return last_call_id_;
    }

    /** Removes the call of a caller that has disconnected. */
    void remove_call(call_id call) { calls_.erase(call); }

    std::size_t calls() const { return calls_.size(); }
    bool reading() const { return reading_; }

    /** When the next read is due; empty without calls or during a read. */
    std::optional<time_point> next_read() const
    {
        if (reading_ || calls_.empty())
            return std::nullopt;
        return std::max(calls_.begin()->second.arrived_at +
                            timing_.batch_window,
                        not_before_);
    }

    /** Starts a read and returns what to request from the directory. */
    read begin_read(time_point now)
    {
        reading_ = true;
        not_before_ = now + timing_.pause;
        read result{std::nullopt, timing_.max_wait};
        for (auto& [id, call] : calls_) {
            call.covered = true;
            result.wait =
                std::min(result.wait, remaining_time(call.wait_until, now));
        }
        if (history_.known())
            result.from = history_.next_offset();
        else
            result.wait = milliseconds(0);
        timeout_at_ =
            now + result.wait +
            (result.from ? timing_.read_timeout : timing_.newest_read_timeout);
        return result;
    }

    /**
     * Ends the read; returns the answers to the calls that it covers. A partial
     * page answers none: the next read is due at once.
     */
    std::vector<answer>
    end_read(const tl::expected<page, directory_problem>& result,
             time_point now)
    {
        reading_ = false;
        if (!result)
            return handle_failure(result.error(), now);
        retry_delay_ = timing_.first_retry_delay;
        if (history_.known())
            history_.extend(*result);
        else
            history_.restart(*result);
        if (result->partial) {
            not_before_ = now;
            return {};
        }
        std::map<std::optional<std::uint64_t>, outcome> outcomes;
        std::vector<answer> answers;
        for (const auto& [id, call] : calls_) {
            if (!call.covered)
                continue;
            const auto [found, is_new] = outcomes.try_emplace(call.from);
            if (is_new)
                found->second = answer_to(call.from);
            answers.push_back({id, found->second});
        }
        drop_answered(answers);
        return answers;
    }

    /** When the current read times out; empty if there is none. */
    std::optional<time_point> timeout_at() const
    {
        if (!reading_)
            return std::nullopt;
        return timeout_at_;
    }

    /**
     * Refuses the calls that wait for the current read if it has timed out, so
     * that their callers can try another relay or the directory.
     */
    std::vector<answer> expire_read(time_point now)
    {
        if (!reading_ || now < timeout_at_)
            return {};
        return refuse([](const pending_call& each) { return each.covered; });
    }

    /** Refuses all pending calls. */
    std::vector<answer> refuse_all(directory_problem why)
    {
        return refuse([](const pending_call&) { return true; }, why);
    }

private:
    struct pending_call {
        std::optional<std::uint64_t> from;
        time_point arrived_at;
        /**
         * End of the caller's wait. It counts from the arrival of the call, so
         * it includes the time spent behind the previous read; the next read
         * waits for the remainder. If reads did not wait, they would follow
         * one another without pause, each for the calls that arrived during
         * the last one.
         */
        time_point wait_until;
        /** The call arrived before the current read was sent. */
        bool covered = false;
    };

    using outcome = tl::expected<shared_page, directory_problem>;

    static milliseconds remaining_time(time_point end, time_point now)
    {
        const auto remaining =
            std::chrono::duration_cast<milliseconds>(end - now);
        return std::max(remaining, milliseconds(0));
    }

    outcome answer_to(std::optional<std::uint64_t> from) const
    {
        if (!from)
            return std::make_shared<const page>(history_.newest());
        auto changes = history_.since(*from);
        if (!changes) {
            // The caller is ahead of this read: it has seen later records
            // through another reader.
            const bool ahead = *from > history_.next_offset();
            return tl::unexpected(ahead ? directory_problem::unavailable
                                        : directory_problem::history_gone);
        }
        return std::make_shared<const page>(std::move(*changes));
    }

    std::vector<answer> handle_failure(directory_problem problem,
                                       time_point now)
    {
        if (problem == directory_problem::history_gone) {
            history_.invalidate();
            not_before_ = now;
            return {};
        }
        not_before_ = now + retry_delay_;
        retry_delay_ = std::min(2 * retry_delay_, timing_.max_retry_delay);
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

    coalescer_timing timing_;
    feed_history<Traits> history_;
    std::map<call_id, pending_call> calls_; ///< in order of arrival
    call_id last_call_id_ = 0;
    bool reading_ = false;
    time_point not_before_{}; ///< earliest time of the next read
    time_point timeout_at_{};
    milliseconds retry_delay_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_READ_COALESCER_HPP
