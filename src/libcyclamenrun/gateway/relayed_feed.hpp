#ifndef CYCLAMENRUN_RELAYED_FEED_HPP
#define CYCLAMENRUN_RELAYED_FEED_HPP

#include "directory.pb.h"
#include "directory_messages.hpp"
#include "relay_clients.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenrun
{

/**
 * A gateway's reader of one directory feed. Reads through monitors that relay
 * the feed to many gateways, and from the directory itself if no monitor can
 * answer.
 *
 * While monitors respond but report that they can't reach the directory,
 * direct calls are limited to one in a few seconds. Such an outage most likely
 * affects all gateways, and calls from all of them would delay the directory's
 * recovery.
 */
template <typename Item>
class relayed_feed final
    : public directory_feed<Item>,
      public std::enable_shared_from_this<relayed_feed<Item>>
{
public:
    using typename directory_feed<Item>::answer_handler;
    using typename directory_feed<Item>::page_handler;
    using page = directory_page<Item>;

    struct hooks {
        /** Unset, or returns null, in a deployment without monitors. */
        std::function<std::shared_ptr<relay_clients>()> relays;
        /** Parses a monitor's answer. */
        std::function<tl::expected<page, answer_problem>(
            const v1::DirectoryAnswer&)>
            read;
        /** Called when a monitor has answered a read. */
        std::function<void()> relayed;
        /**
         * Longest time for which a monitor holds a call; bounds the time to
         * detect a monitor that has lost the directory.
         */
        milliseconds max_wait{900};
        /**
         * Called with the first page of many, before the other pages are read.
         */
        std::function<void(std::vector<Item>&&)> partial;
    };

    relayed_feed(std::shared_ptr<link_reactor> reactor,
                 v1::DirectoryFeed feed_kind,
                 std::shared_ptr<directory_feed<Item>> direct,
                 std::mt19937_64& random, hooks on)
        : reactor_(std::move(reactor)), feed_kind_(feed_kind),
          direct_(std::move(direct)), random_(random), on_(std::move(on))
    {
    }

    void read_newest(time_point deadline, answer_handler on_answer,
                     page_handler = {}) override
    {
        begin({std::nullopt, milliseconds(0), deadline, std::move(on_answer)});
    }

    void read_from(std::uint64_t offset, milliseconds wait, time_point deadline,
                   answer_handler on_answer) override
    {
        begin({offset, wait, deadline, std::move(on_answer)});
    }

private:
    /** Monitors that one call tries before it reads the directory itself. */
    static constexpr std::size_t max_relay_tries = 2;
    /** Leaving monitors after which a call stops choosing replacements. */
    static constexpr std::size_t max_leaving = 4;
    /**
     * Time for a monitor's answer beyond the wait. The monitor's current read
     * ends first, and its next one may be slow.
     */
    static constexpr milliseconds relay_timeout{800};
    /** Time for the directory's own answer after monitors have failed. */
    static constexpr milliseconds direct_timeout{1200};
    /**
     * Least time between two direct calls while monitors report that the
     * directory is unavailable. A random addition of up to half of it spreads
     * the calls of the gateways.
     */
    static constexpr milliseconds direct_interval{2000};
    /** Interval at which a waiting call checks whether a monitor responds. */
    static constexpr milliseconds relay_poll_interval{50};
    /**
     * Time for a monitor's answer with the newest records. A monitor that has
     * just started reads many pages first.
     */
    static constexpr milliseconds newest_relay_timeout{3000};
    /**
     * Time for which the directory is read without relays after one has not
     * said that its answer is complete, as monitors of older builds do.
     */
    static constexpr milliseconds unsure_relay_pause{5000};
    /** Wait for a monitor that responds, after the first of many pages. */
    static constexpr milliseconds relay_response_timeout{1000};

    struct call {
        std::optional<std::uint64_t> from;
        milliseconds wait;
        time_point deadline;
        answer_handler on_answer;
        std::vector<std::string> hosts = {};
        std::size_t tried = 0; ///< number of `hosts` that were called
        /** A monitor reported that the directory is unavailable. */
        bool reported_unavailable = false;
        /** Number of monitors that reported that their VM is leaving. */
        std::size_t leaving = 0;
        /**
         * Set once the first page is known. Until this awake time the call
         * waits for a monitor that responds and can read the other pages.
         */
        std::optional<time_point> relays_deadline = {};
    };

    void begin(call pending)
    {
        begin(std::make_shared<call>(std::move(pending)));
    }

    void begin(const std::shared_ptr<call>& pending)
    {
        const bool uses_relays = on_.relays && steady_now() >= no_relays_until_;
        relays_ = uses_relays ? on_.relays() : nullptr;
        if (relays_)
            pending->hosts = relays_->usable_hosts();
        if (relays_ && pending->hosts.empty() && waits_for_relays(*pending))
            schedule_begin(pending);
        else
            try_next(pending);
    }

    bool waits_for_relays(const call& pending) const
    {
        if (pending.relays_deadline)
            return reactor_->awake_now() < *pending.relays_deadline;
        return pending.from && relays_->awaits_first_report();
    }

    void schedule_begin(const std::shared_ptr<call>& pending)
    {
        reactor_->post_at(steady_now() + relay_poll_interval,
                          [weak = this->weak_from_this(), pending] {
                              if (const auto self = weak.lock())
                                  self->begin(pending);
                          });
    }

    void try_next(const std::shared_ptr<call>& pending)
    {
        if (pending->tried < std::min(max_relay_tries, pending->hosts.size()))
            call_relay(pending);
        else
            call_directory(pending);
    }

    void call_relay(const std::shared_ptr<call>& pending)
    {
        const auto& host = pending->hosts[pending->tried++];
        v1::DirectoryCall message;
        message.set_feed(feed_kind_);
        if (pending->from)
            message.set_from(*pending->from);
        const auto wait = std::min(pending->wait, on_.max_wait);
        message.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
        const auto time =
            pending->from ? wait + relay_timeout : newest_relay_timeout;
        relays_->send_call(
            host, message, steady_now() + time,
            [weak = this->weak_from_this(), pending, host,
             sent_at =
                 boot_now()](const std::optional<v1::DirectoryAnswer>& answer) {
                if (const auto self = weak.lock())
                    self->handle_answer(pending, host, sent_at, answer);
            });
    }

    void handle_answer(const std::shared_ptr<call>& pending,
                       const std::string& host, boot_time sent_at,
                       const std::optional<v1::DirectoryAnswer>& answer)
    {
        if (!answer) {
            try_next(pending);
            return;
        }
        auto read = on_.read(*answer);
        if (read && read->partial) {
            no_relays_until_ = steady_now() + unsure_relay_pause;
            pending->hosts.clear();
            pending->tried = 0;
            call_directory(pending);
            return;
        }
        if (read) {
            read->sent_at = sent_at;
            read->relayed = true;
            on_.relayed();
            pending->on_answer(std::move(*read));
            return;
        }
        if (read.error() == answer_problem::history_gone) {
            pending->on_answer(tl::unexpected(directory_problem::history_gone));
            return;
        }
        if (read.error() == answer_problem::leaving)
            handle_leaving(pending, host);
        else
            handle_unavailable(pending, host);
    }

    void handle_unavailable(const std::shared_ptr<call>& pending,
                            const std::string& host)
    {
        pending->reported_unavailable = true;
        if (relays_)
            relays_->mark_without_directory(host);
        try_next(pending);
    }

    /**
     * Repeats the call through other monitors, which may be leaving as well.
     */
    void handle_leaving(const std::shared_ptr<call>& pending,
                        const std::string& host)
    {
        if (relays_)
            relays_->mark_leaving(host);
        if (++pending->leaving < max_leaving) {
            pending->tried = 0;
            begin(pending);
        } else {
            try_next(pending);
        }
    }

    void call_directory(const std::shared_ptr<call>& pending)
    {
        const auto now = steady_now();
        if (pending->reported_unavailable && now < next_direct_at_) {
            pending->on_answer(tl::unexpected(directory_problem::unavailable));
            return;
        }
        // Weak: the feed may hold the handler of a call that never completes.
        auto answer = [weak = this->weak_from_this(), pending,
                       sent_at = boot_now()](
                          tl::expected<page, directory_problem> result) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (!result)
                self->delay_direct_calls();
            else
                result->sent_at = sent_at;
            pending->on_answer(std::move(result));
        };
        // Once monitors have failed, the call must complete soon.
        const bool no_relay_tried = pending->tried == 0;
        const auto deadline =
            no_relay_tried ? std::max(pending->deadline, now + direct_timeout)
                           : now + direct_timeout;
        if (pending->from)
            direct_->read_from(*pending->from,
                               no_relay_tried ? pending->wait : milliseconds(0),
                               deadline, std::move(answer));
        else
            direct_->read_newest(deadline, std::move(answer),
                                 first_page_handler(pending));
    }

    /**
     * Stops a long direct read after its first page, which names enough
     * monitors to read the rest through. Hundreds of gateways that start
     * together and each read all pages would share the directory's bandwidth
     * for so long that none of them finishes in time.
     */
    page_handler first_page_handler(const std::shared_ptr<call>& pending)
    {
        if (!on_.partial || pending->tried > 0 || pending->relays_deadline)
            return {};
        return [weak = this->weak_from_this(),
                pending](const std::vector<Item>& so_far) {
            const auto self = weak.lock();
            if (!self)
                return false;
            // Without relays the read continues. Checked here, since they may
            // have been set after the call began.
            if (!self->on_.relays || !self->on_.relays())
                return true;
            self->on_.partial(std::vector<Item>(so_far));
            pending->relays_deadline =
                self->reactor_->awake_now() + relay_response_timeout;
            self->begin(pending);
            return false;
        };
    }

    void delay_direct_calls()
    {
        std::uniform_real_distribution<double> factor(1.0, 1.5);
        next_direct_at_ =
            steady_now() + std::chrono::duration_cast<milliseconds>(
                               factor(random_) * direct_interval);
    }

    std::shared_ptr<link_reactor> reactor_;
    v1::DirectoryFeed feed_kind_;
    std::shared_ptr<directory_feed<Item>> direct_;
    std::mt19937_64& random_;
    hooks on_;
    std::shared_ptr<relay_clients> relays_;
    time_point next_direct_at_{};
    time_point no_relays_until_{}; ///< a relay's answer may have been a part
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAYED_FEED_HPP
