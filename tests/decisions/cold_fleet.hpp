#ifndef CYCLAMENRUN_TESTS_COLD_FLEET_HPP
#define CYCLAMENRUN_TESTS_COLD_FLEET_HPP

#include "cold_limits.hpp"
#include "gateway_count_history.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * Gateways before one cold upstream, on virtual time without I/O. Each learns
 * late of gateways that join or vanish, and forgets those that it is cut off
 * from; a restarted process finds the others within two seconds. Gateways and a
 * monitor on each side of a cut tell each other how many there were.
 */
class cold_fleet
{
public:
    static constexpr milliseconds step{20};
    static constexpr milliseconds window{1000};
    static constexpr milliseconds news_interval{500};
    /** How long a gateway that is not heard of is still known. */
    static constexpr milliseconds forgets_after{15000};

    cold_fleet(std::size_t size, cold_bounds bounds, double per_s,
               std::uint64_t seed)
        : random(seed), bounds_(bounds), per_s_(per_s)
    {
        for (std::size_t i = 0; i < size; ++i)
            join();
    }

    std::size_t size() const { return gateways_.size(); }
    double bound() const { return per_s_ * bounds_.overrun + bounds_.margin; }
    std::uint64_t pick(std::uint64_t below) { return random() % below; }

    void join()
    {
        gateways_.push_back({});
        gateways_.back().host = "10.0.0." + std::to_string(1000 + next_host_);
        gateways_.back().side = static_cast<unsigned>(next_host_++ % 2);
        gateways_.back().joined = now_;
        restart(gateways_.size() - 1);
    }
    void leave(std::size_t i)
    {
        left_.push_back({gateways_.at(i).host, now_, gateways_.at(i).side});
        gateways_.erase(gateways_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    /** The process starts again and knows nothing. */
    void restart(std::size_t i)
    {
        auto& started = gateways_.at(i);
        started.limits = std::make_unique<cold_limits>();
        started.limits->set_bounds(bounds_, now_);
        started.limits->set_rates({{"s", per_s_}}, now_);
        started.counts = {};
        started.known = {};
        started.next_news = {};
        started.started = now_;
        // News of a change takes up to two seconds, and differs by gateway.
        started.lag = milliseconds(pick(20) * 100);
    }
    /** The process stands still; requests that wait are sent at its end. */
    void pause(std::size_t i, milliseconds time)
    {
        gateways_.at(i).paused_until = now_ + time;
    }
    bool is_cut() const { return cut_since_.has_value(); }
    void cut()
    {
        if (!cut_since_)
            cut_since_ = now_;
    }
    void heal()
    {
        if (cut_since_)
            healed_at_ = now_;
        cut_since_.reset();
    }

    /** The upstream says until when it is cold. */
    void state_cold(milliseconds left) { cold_until_ = now_ + left; }
    /** No process has known the upstream, as far as it remembers. */
    void state_new() { is_new_ = true; }

    /**
     * Lets time pass. In each step each gateway has a request with this
     * probability.
     */
    void run(milliseconds time, double demand)
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += step;
            const bool ticks =
                now_.time_since_epoch() % milliseconds(100) == milliseconds(0);
            for (std::size_t i = 0; i < gateways_.size(); ++i) {
                if (gateways_[i].paused_until > now_)
                    continue;
                if (ticks)
                    update(i);
                if (std::bernoulli_distribution(demand)(random))
                    send(i);
            }
        }
    }

    std::size_t most_in_window() const { return most_; }
    std::size_t sent() const { return sent_; }
    void forget_sends()
    {
        window_.clear();
        most_ = sent_ = 0;
    }
    /** Gateways that have sent. */
    std::size_t senders() const
    {
        return static_cast<std::size_t>(
            std::count_if(gateways_.begin(), gateways_.end(),
                          [](const auto& each) { return each.sent > 0; }));
    }

    std::mt19937_64 random;

private:
    struct gateway {
        std::string host;
        unsigned side = 0; ///< of a cut
        time_point joined;
        time_point started;
        milliseconds lag{0};
        time_point paused_until{};
        std::unique_ptr<cold_limits> limits;
        gateway_count_history counts;
        known_gateways known;
        time_point next_news{};
        std::size_t sent = 0;
    };
    struct gone {
        std::string host;
        time_point left;
        unsigned side;
    };

    bool has_found_others(const gateway& each) const
    {
        return now_ - each.started >= each.lag;
    }
    bool knows(const gateway& one, const gateway& other) const
    {
        const auto lag = one.lag;
        const bool apart = one.side != other.side;
        if (apart && cut_since_)
            // One that started in its part has never heard of the others.
            return other.joined + lag < *cut_since_ &&
                   one.started < *cut_since_ &&
                   now_ - *cut_since_ <= forgets_after + lag;
        if (apart && healed_at_ && now_ - *healed_at_ < lag)
            return false;
        return now_ - other.joined >= lag;
    }
    bool knows(const gateway& one, const gone& other) const
    {
        return one.started < other.left &&
               now_ - other.left <= forgets_after + one.lag;
    }

    void update(std::size_t i)
    {
        auto& own = gateways_[i];
        if (now_ >= own.next_news) {
            own.next_news = now_ + news_interval;
            learn_of_others(i);
        }
        own.limits->set_gateways(own.known, now_);
        // Records are written every 1.2 s and may be read late.
        if (cold_until_ > now_ &&
            own.limits->record("u", "s", cold_source::listed, cold_until_,
                               now_) &&
            is_new_)
            own.limits->fill_new("u", now_);
    }

    void learn_of_others(std::size_t i)
    {
        auto& own = gateways_[i];
        auto& known = own.known;
        known.own = own.host;
        known.others.clear();
        if (has_found_others(own)) {
            for (const auto& other : gateways_)
                if (&other != &own && knows(own, other))
                    known.others.push_back(other.host);
            for (const auto& other : left_)
                if (knows(own, other))
                    known.others.push_back(other.host);
            tell_counts(i);
        }
        const boot_time now(now_.time_since_epoch());
        own.counts.record(static_cast<unsigned>(known.others.size() + 1), now);
        known.remembered = own.counts.largest(now);
    }

    void tell_counts(std::size_t i)
    {
        const boot_time now(now_.time_since_epoch());
        const auto exchange = [now](auto& left, auto& right) {
            for (const auto& told : left.counts(now))
                right.learn(told, now);
            for (const auto& told : right.counts(now))
                left.learn(told, now);
        };
        auto& own = gateways_[i];
        exchange(own.counts, monitors_.at(own.side));
        if (!cut_since_)
            exchange(own.counts, monitors_.at(1 - own.side));
        auto& other = gateways_[pick(gateways_.size())];
        if (&other != &own && has_found_others(other) &&
            (!cut_since_ || other.side == own.side))
            exchange(own.counts, other.counts);
    }

    void send(std::size_t i)
    {
        auto& own = gateways_[i];
        if (own.limits->cold_left("u", now_) == milliseconds(0) ||
            own.limits->time_to_room("u", now_) > milliseconds(0))
            return;
        own.limits->record_send("u", now_);
        ++own.sent;
        ++sent_;
        window_.push_back(now_);
        while (window_.front() <= now_ - window)
            window_.pop_front();
        most_ = std::max(most_, window_.size());
    }

    cold_bounds bounds_;
    double per_s_;
    time_point now_{std::chrono::hours(1)};
    time_point cold_until_{};
    bool is_new_ = false;
    std::vector<gateway> gateways_;
    std::vector<gone> left_;
    std::array<gateway_count_history, 2> monitors_; ///< one on each side
    unsigned next_host_ = 1;
    std::optional<time_point> cut_since_;
    std::optional<time_point> healed_at_;
    std::deque<time_point> window_;
    std::size_t most_ = 0;
    std::size_t sent_ = 0;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_COLD_FLEET_HPP
