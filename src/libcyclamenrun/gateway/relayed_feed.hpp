#ifndef CYCLAMENRUN_RELAYED_FEED_HPP
#define CYCLAMENRUN_RELAYED_FEED_HPP

#include "directory.pb.h"
#include "directory_messages.hpp"
#include "directory_relays.hpp"

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
 * direct calls are limited to one in a few seconds. Such an outage is hardly
 * limited to this VM, and calls of a whole fleet delay the directory's
 * recovery.
 */
template <typename Item>
class relayed_feed final
    : public directory_feed<Item>,
      public std::enable_shared_from_this<relayed_feed<Item>>
{
public:
    using typename directory_feed<Item>::answered;
    using typename directory_feed<Item>::page_read;
    using page = directory_page<Item>;

    struct hooks {
        /** Unset, or returns null, in a deployment without monitors. */
        std::function<std::shared_ptr<directory_relays>()> relays;
        std::function<tl::expected<page, answer_problem>(
            const v1::DirectoryAnswer&)>
            read;
        /** Called when a monitor has answered a read. */
        std::function<void()> relayed;
        /**
         * Longest time for which a monitor holds a call; bounds the time to
         * detect a monitor that has lost the directory.
         */
        milliseconds longest_wait{900};
        /** Called with the first page of many, before the others are read. */
        std::function<void(std::vector<Item>&&)> partial;
    };

    relayed_feed(std::shared_ptr<link_reactor> reactor, v1::DirectoryFeed which,
                 std::shared_ptr<directory_feed<Item>> direct,
                 std::mt19937_64& random, hooks on)
        : reactor_(std::move(reactor)), which_(which),
          direct_(std::move(direct)), random_(random), on_(std::move(on))
    {
    }

    void read_newest(time_point deadline, answered on_answer,
                     page_read = {}) override
    {
        begin({std::nullopt, milliseconds(0), deadline, std::move(on_answer)});
    }

    void read_from(std::uint64_t offset, milliseconds wait, time_point deadline,
                   answered on_answer) override
    {
        begin({offset, wait, deadline, std::move(on_answer)});
    }

private:
    /** Monitors that one call tries before it reads the directory itself. */
    static constexpr std::size_t most_tries = 2;
    /** Leaving monitors after which a call stops choosing replacements. */
    static constexpr std::size_t most_leaving = 4;
    /** Time for a monitor's answer beyond the wait. The monitor's current read
     * ends first, and its next one may be slow. */
    static constexpr milliseconds patience{800};
    /** Time for the directory's own answer after monitors have failed. */
    static constexpr milliseconds direct_time{1200};
    /** Least time between two direct calls while monitors report that the
     * directory is unavailable. A random addition of up to half of it spreads
     * the calls of the gateways. */
    static constexpr milliseconds direct_spacing{2000};
    static constexpr milliseconds relays_look{50};
    /** The same for the newest records, as a monitor that has just started
     * reads many pages first. */
    static constexpr milliseconds newest_patience{3000};
    /** Time for a monitor to respond after the first of many pages. */
    static constexpr milliseconds relays_due{1000};

    struct call {
        std::optional<std::uint64_t> from;
        milliseconds wait;
        time_point deadline;
        answered on_answer;
        std::vector<std::string> hosts = {};
        std::size_t tried = 0;
        bool heard_away =
            false; ///< a monitor reported that the directory is unavailable
        std::size_t leaving =
            0; ///< monitors that reported that their VM is leaving
        /** Set once the first page is known: monitors have until then to
         * respond and read the rest. */
        std::optional<time_point> relays_by = {};
    };

    void begin(call what) { begin(std::make_shared<call>(std::move(what))); }

    void begin(const std::shared_ptr<call>& what)
    {
        relays_ = on_.relays ? on_.relays() : nullptr;
        if (relays_)
            what->hosts = relays_->hosts();
        if (relays_ && what->hosts.empty() && waits_for_relays(*what))
            begin_later(what);
        else
            go_on(what);
    }

    bool waits_for_relays(const call& what) const
    {
        if (what.relays_by)
            return steady_now() < *what.relays_by;
        return what.from && relays_->expected();
    }

    void begin_later(const std::shared_ptr<call>& what)
    {
        reactor_->post_at(steady_now() + relays_look,
                          [weak = this->weak_from_this(), what] {
                              if (const auto self = weak.lock())
                                  self->begin(what);
                          });
    }

    void go_on(const std::shared_ptr<call>& what)
    {
        if (what->tried < std::min(most_tries, what->hosts.size()))
            ask_relay(what);
        else
            ask_directory(what);
    }

    void ask_relay(const std::shared_ptr<call>& what)
    {
        const auto& host = what->hosts[what->tried++];
        v1::DirectoryCall message;
        message.set_feed(which_);
        if (what->from)
            message.set_from(*what->from);
        const auto wait = std::min(what->wait, on_.longest_wait);
        message.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
        const auto time = what->from ? wait + patience : newest_patience;
        relays_->ask(
            host, message, steady_now() + time,
            [weak = this->weak_from_this(), what, host, asked = boot_now()](
                const std::optional<v1::DirectoryAnswer>& answer) {
                if (const auto self = weak.lock())
                    self->take(what, host, asked, answer);
            });
    }

    void take(const std::shared_ptr<call>& what, const std::string& host,
              boot_time asked, const std::optional<v1::DirectoryAnswer>& answer)
    {
        if (!answer) {
            go_on(what);
            return;
        }
        auto read = on_.read(*answer);
        if (read) {
            read->asked = asked;
            read->relayed = true;
            on_.relayed();
            what->on_answer(std::move(*read));
            return;
        }
        if (read.error() == answer_problem::history_gone) {
            what->on_answer(tl::unexpected(directory_problem::history_gone));
            return;
        }
        if (read.error() == answer_problem::leaving)
            take_leaving(what, host);
        else
            take_away(what, host);
    }

    void take_away(const std::shared_ptr<call>& what, const std::string& host)
    {
        what->heard_away = true;
        if (relays_)
            relays_->without_directory(host);
        go_on(what);
    }

    /** Chooses other monitors; the next one may be leaving as well. */
    void take_leaving(const std::shared_ptr<call>& what,
                      const std::string& host)
    {
        if (relays_)
            relays_->leaves(host);
        if (++what->leaving < most_leaving) {
            what->tried = 0;
            begin(what);
        } else {
            go_on(what);
        }
    }

    void ask_directory(const std::shared_ptr<call>& what)
    {
        const auto now = steady_now();
        if (what->heard_away && now < direct_after_) {
            what->on_answer(tl::unexpected(directory_problem::unavailable));
            return;
        }
        // Weak: the feed may hold the handler of a call that never completes.
        auto answer = [weak = this->weak_from_this(), what, asked = boot_now()](
                          tl::expected<page, directory_problem> result) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (!result)
                self->space_direct();
            else
                result->asked = asked;
            what->on_answer(std::move(result));
        };
        // Once monitors have failed, the call must complete soon.
        const bool first = what->tried == 0;
        const auto deadline = first
                                  ? std::max(what->deadline, now + direct_time)
                                  : now + direct_time;
        if (what->from)
            direct_->read_from(*what->from,
                               first ? what->wait : milliseconds(0), deadline,
                               std::move(answer));
        else
            direct_->read_newest(deadline, std::move(answer), pages_of(what));
    }

    /**
     * Stops a long direct read after its first page, which names enough
     * monitors to read the rest through. Hundreds of gateways that start
     * together and each read all pages would share the directory's bandwidth
     * for so long that none of them finishes in time.
     */
    page_read pages_of(const std::shared_ptr<call>& what)
    {
        if (!on_.partial || what->tried > 0 || what->relays_by)
            return {};
        return [weak = this->weak_from_this(),
                what](const std::vector<Item>& so_far) {
            const auto self = weak.lock();
            if (!self)
                return false;
            // Reads on: this gateway has no relays. They may have been set
            // since the call began, so this is checked here.
            if (!self->on_.relays || !self->on_.relays())
                return true;
            self->on_.partial(std::vector<Item>(so_far));
            what->relays_by = steady_now() + relays_due;
            self->begin(what);
            return false;
        };
    }

    void space_direct()
    {
        std::uniform_real_distribution<double> part(1.0, 1.5);
        direct_after_ = steady_now() + std::chrono::duration_cast<milliseconds>(
                                           part(random_) * direct_spacing);
    }

    std::shared_ptr<link_reactor> reactor_;
    v1::DirectoryFeed which_;
    std::shared_ptr<directory_feed<Item>> direct_;
    std::mt19937_64& random_;
    hooks on_;
    std::shared_ptr<directory_relays> relays_;
    time_point direct_after_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAYED_FEED_HPP
