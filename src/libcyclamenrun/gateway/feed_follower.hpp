#ifndef CYCLAMENRUN_FEED_FOLLOWER_HPP
#define CYCLAMENRUN_FEED_FOLLOWER_HPP

#include "boot_clock.hpp"
#include "directory_feed.hpp"
#include "link_reactor.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenrun
{

/** Timing of a feed_follower's reads. */
struct feed_timing {
    /** Time for which the directory holds a call without new records. */
    milliseconds wait{1500};
    /** Time for an answer beyond the wait, before the call times out. */
    milliseconds answer_timeout{1200};
    milliseconds first_retry_delay{100};
    milliseconds max_retry_delay{800};
};

/**
 * Follows one feed of the directory for the life of the process: reads the
 * newest record of each key first, then every later record in order. If the
 * history at its offset has been deleted, it restarts from the newest records.
 * While the directory is unreachable it keeps its offset and retries with
 * exponential backoff.
 */
template <typename Item>
class feed_follower : public std::enable_shared_from_this<feed_follower<Item>>
{
public:
    struct hooks {
        /** `whole`: the complete set of records; missing keys are removed. */
        std::function<void(std::vector<Item>&& items, bool whole)> items;
        /**
         * Called before `items` with each page, also one without items.
         * `sent_at`: when the call that returned it was sent.
         */
        std::function<void(const directory_page<Item>&, bool whole,
                           boot_time sent_at)>
            received;
        /** Least time between two calls to the directory; 0 if unset. */
        std::function<milliseconds()> pause;
        /**
         * Time for which the directory holds the next call; if unset, the
         * `wait` of the timing.
         */
        std::function<milliseconds()> wait;
        /**
         * The directory has answered a call sent at `sent_at`: every record
         * that it held then has been received. Not called for a partial page,
         * which is followed by the next read at once.
         */
        std::function<void(boot_time sent_at)> confirmed;
        /** Called when the directory becomes unavailable. */
        std::function<void(directory_problem)> lost;
        /**
         * Called for each failed call, also while the directory is unavailable.
         */
        std::function<void(directory_problem)> failed;
        /** Called with the duration of each answered call. */
        std::function<void(duration took)> answered;
        /** Called with the keys of records that can't be parsed. */
        std::function<void(const std::vector<std::string>& keys)> unreadable;
        /** Called when the directory responds again after an outage. */
        std::function<void(duration outage)> regained;
    };

    feed_follower(std::shared_ptr<link_reactor> reactor,
                  std::shared_ptr<directory_feed<Item>> feed,
                  feed_timing timing, hooks on)
        : reactor_(std::move(reactor)), feed_(std::move(feed)), timing_(timing),
          on_(std::move(on)), retry_delay_(timing.first_retry_delay)
    {
    }

    /**
     * `lost_since`: since when another follower, of which this one takes the
     * place, has had no answer of the directory.
     */
    void start(std::optional<time_point> lost_since = {})
    {
        lost_since_ = lost_since;
        read();
    }

    /** Since when the directory has been unavailable; empty if it is not. */
    std::optional<time_point> lost_since() const { return lost_since_; }

    /** True if a relay answered the last successful call. */
    bool relayed() const { return relayed_; }

    /**
     * During an outage, retries at once, since the directory may be reachable
     * again.
     */
    void retry_now()
    {
        if (lost_since_ && !reading_)
            read_at(steady_now());
    }

    /**
     * Reads as soon as the rate of reads allows, without waiting for new
     * records: somebody needs to know whether there are any.
     */
    void read_soon()
    {
        reads_soon_ = true;
        if (!reading_ && !lost_since_)
            read_at(earliest_read());
    }

private:
    using page = directory_page<Item>;

    /** Bounds the rate of reads by read_soon(). */
    static constexpr milliseconds min_read_interval{200};

    milliseconds pause() const
    {
        return on_.pause ? on_.pause() : milliseconds(0);
    }

    time_point earliest_read() const
    {
        return std::max(steady_now(), read_started_at_ + min_read_interval);
    }

    time_point next_regular_read() const
    {
        if (relayed_)
            return steady_now();
        return reads_soon_ ? earliest_read() : read_started_at_ + pause();
    }

    milliseconds next_wait() const
    {
        if (reads_soon_)
            return milliseconds(0);
        return on_.wait ? on_.wait() : timing_.wait;
    }

    void read()
    {
        reading_ = true;
        sent_at_ = boot_now();
        read_started_at_ = steady_now();
        auto answer = [weak = this->weak_from_this()](auto result) {
            if (const auto self = weak.lock())
                self->handle_answer(std::move(result));
        };
        const auto wait = next_wait();
        reads_soon_ = false;
        if (offset_)
            feed_->read_from(*offset_, wait,
                             read_started_at_ + wait + timing_.answer_timeout,
                             std::move(answer));
        else
            feed_->read_newest(read_started_at_ + timing_.answer_timeout,
                               std::move(answer));
    }

    void handle_answer(tl::expected<page, directory_problem> result)
    {
        reading_ = false;
        if (!result) {
            handle_failure(result.error());
            return;
        }
        retry_delay_ = timing_.first_retry_delay;
        if (lost_since_ && on_.regained)
            on_.regained(steady_now() - *lost_since_);
        lost_since_.reset();
        if (on_.answered)
            on_.answered(steady_now() - read_started_at_);
        if (on_.unreadable && !result->unreadable.empty())
            on_.unreadable(result->unreadable);
        const auto sent_at = result->sent_at.value_or(sent_at_);
        relayed_ = result->relayed;
        const bool partial = result->partial;
        if (on_.received)
            on_.received(*result, !offset_.has_value(), sent_at);
        deliver_items(std::move(*result));
        if (on_.confirmed && !partial)
            on_.confirmed(sent_at);
        read_at(partial ? steady_now() : next_regular_read());
    }

    void deliver_items(page&& received)
    {
        const bool whole = !offset_.has_value();
        offset_ = received.next_offset;
        if (on_.items && (whole || !received.items.empty()))
            on_.items(std::move(received.items), whole);
    }

    void handle_failure(directory_problem problem)
    {
        if (on_.failed)
            on_.failed(problem);
        if (problem == directory_problem::history_gone) {
            offset_.reset();
            read_at(steady_now());
            return;
        }
        if (!lost_since_) {
            lost_since_ = steady_now();
            if (on_.lost)
                on_.lost(problem);
        }
        read_at(steady_now() + retry_delay_);
        retry_delay_ = std::min(2 * retry_delay_, timing_.max_retry_delay);
    }

    void read_at(time_point when)
    {
        next_read_ = when;
        reactor_->post_at(when, [weak = this->weak_from_this(), when] {
            if (const auto self = weak.lock())
                self->read_if_due(when);
        });
    }

    /** Reads, unless the read has been rescheduled since. */
    void read_if_due(time_point when)
    {
        if (!reading_ && when == next_read_)
            read();
    }

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<directory_feed<Item>> feed_;
    feed_timing timing_;
    hooks on_;
    std::optional<std::uint64_t> offset_;
    bool reading_ = false;
    bool relayed_ = false;
    bool reads_soon_ = false;
    time_point next_read_{};
    boot_time sent_at_{};
    time_point read_started_at_{};
    std::optional<time_point> lost_since_;
    milliseconds retry_delay_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_FEED_FOLLOWER_HPP
