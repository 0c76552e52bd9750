#ifndef CYCLAMENRUN_TESTS_BUDGET_FLEET_HPP
#define CYCLAMENRUN_TESTS_BUDGET_FLEET_HPP

#include "gateway_count_history.hpp"
#include "shared_retry_budget.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * Gateways that share a budget of repeats, on virtual time without I/O. Each
 * one learns late how many there are; parts that are cut off from each other
 * forget each other; a process that pauses or restarts knows what a real one
 * does. Gateways and a monitor in each half tell each other the numbers that
 * they remember.
 */
class budget_fleet
{
public:
    static constexpr milliseconds step{100};
    static constexpr milliseconds window{10000};
    /** After a cut of this length gateways forget each other. */
    static constexpr milliseconds forgets_after{15000};

    budget_fleet(std::size_t size, double share, double extra,
                 std::uint64_t seed)
        : random(seed)
    {
        settings_.share = share;
        settings_.extra = extra;
        settings_.window = window;
        for (std::size_t i = 0; i < size; ++i)
            join();
    }

    std::size_t size() const { return gateways_.size(); }
    milliseconds now() const { return now_; }

    void join()
    {
        gateways_.push_back({});
        restart(gateways_.size() - 1);
        gateways_.back().counts_since = now_;
    }
    void leave(std::size_t i)
    {
        gateways_.erase(gateways_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    /** The process starts again and knows nothing. */
    void restart(std::size_t i)
    {
        auto& started = gateways_.at(i);
        started.budget = make_budget();
        started.counts = {};
        started.started = now_;
        started.lag = milliseconds(pick(20) * 100);
        started.paused_until = {};
    }
    void pause(std::size_t i, milliseconds time)
    {
        gateways_.at(i).paused_until = now_ + time;
    }
    /** Cuts the gateways into halves until heal(). */
    void cut()
    {
        if (!cut_since_)
            cut_since_ = now_;
    }
    void heal() { cut_since_.reset(); }

    /** Lets a step pass in which each gateway gets up to `requests`. */
    void advance(unsigned requests)
    {
        now_ += step;
        sizes_.push_back(gateways_.size());
        deliver_grants();
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            if (!runs(i))
                continue;
            update_count(i);
            if (has_found_others(i))
                tell_counts(i);
            for (auto left = pick(requests + 1); left > 0; --left)
                record_request(i);
        }
    }

    /** A gateway sends repeats until it may not, `most` at the most. */
    unsigned repeat(std::size_t i, unsigned most, bool urgent)
    {
        unsigned sent = 0;
        while (runs(i) && sent < most && send_repeat(i, urgent))
            ++sent;
        repeats_.insert(repeats_.end(), sent, now_);
        return sent;
    }

    /** A gateway asks three others for a repeat each. */
    void borrow(std::size_t i);

    /** Highest excess of repeats over what is allowed, over all windows. */
    double worst_excess() const
    {
        double worst = -settings_.extra;
        for (auto from = repeats_.begin(); from != repeats_.end(); ++from) {
            const auto sent =
                std::upper_bound(from, repeats_.end(), *from + window) - from;
            worst = std::max(worst,
                             static_cast<double>(sent) - allowed_from(*from));
        }
        return worst;
    }

    std::size_t repeats() const { return repeats_.size(); }
    std::size_t requests() const { return requests_.size(); }

    std::uint64_t pick(std::uint64_t below) { return random() % below; }

    std::mt19937_64 random;

private:
    struct gateway {
        std::unique_ptr<shared_retry_budget> budget;
        gateway_count_history counts;
        milliseconds started{0};
        milliseconds counts_since{0}; ///< joined; others learn of it then
        milliseconds lag{0};          ///< of what it knows of the others
        milliseconds paused_until{0};
    };

    bool runs(std::size_t i) const
    {
        return gateways_.at(i).paused_until <= now_;
    }

    std::unique_ptr<shared_retry_budget> make_budget() const;
    void set_count(std::size_t i, unsigned count);
    void tell_counts(std::size_t i);
    void record_request(std::size_t i);
    bool send_repeat(std::size_t i, bool urgent);
    void deliver_grants();

    bool connected(std::size_t i, std::size_t j) const
    {
        return !cut_since_ || i % 2 == j % 2;
    }

    bool has_found_others(std::size_t i) const
    {
        return now_ - gateways_.at(i).started >= gateways_.at(i).lag;
    }

    void update_count(std::size_t i)
    {
        const auto& known = gateways_.at(i);
        if (!has_found_others(i)) {
            set_count(i, 1);
            return;
        }
        const auto steps_ago = static_cast<std::size_t>(known.lag / step);
        auto count = sizes_.at(sizes_.size() - 1 -
                               std::min(steps_ago, sizes_.size() - 1));
        if (cut_since_ && now_ - *cut_since_ > forgets_after)
            count = (count + 1) / 2;
        set_count(i, static_cast<unsigned>(count));
    }

    double allowed_from(milliseconds from) const
    {
        const auto between = [this](milliseconds begin, milliseconds end) {
            return std::upper_bound(requests_.begin(), requests_.end(), end) -
                   std::lower_bound(requests_.begin(), requests_.end(), begin);
        };
        const auto most =
            std::max({between(from, from + window),
                      between(from - window / 2, from + window / 2),
                      between(from - window, from)});
        return settings_.share * static_cast<double>(most) + settings_.extra;
    }

    struct grant {
        shared_retry_budget* to = nullptr; ///< compared only
        double amount = 0;
        milliseconds asked{0};
        milliseconds arrives{0};
    };

    retry_budget_settings settings_;
    milliseconds now_{0};
    std::vector<grant> grants_;
    std::vector<gateway> gateways_;
    std::array<gateway_count_history, 2> monitors_; ///< one in each half
    std::vector<std::size_t> sizes_{0};             ///< after each step
    std::optional<milliseconds> cut_since_;
    std::vector<milliseconds> requests_;
    std::vector<milliseconds> repeats_;
};

// The calls of the budget.

inline std::unique_ptr<shared_retry_budget> budget_fleet::make_budget() const
{
    return std::make_unique<shared_retry_budget>(settings_, boot_time(now_));
}

inline void budget_fleet::set_count(std::size_t i, unsigned count)
{
    auto& counting = gateways_.at(i);
    counting.counts.record(count, boot_time(now_));
    counting.budget->set_gateway_count(counting.counts.largest(boot_time(now_)),
                                       boot_time(now_));
}

/** Once a second a gateway exchanges what it remembers with others. */
inline void budget_fleet::tell_counts(std::size_t i)
{
    if (now_ % std::chrono::seconds(1) != milliseconds(0))
        return;
    const auto now = boot_time(now_);
    const auto exchange = [now](auto& left, auto& right) {
        for (const auto& told : left.counts(now))
            right.learn(told, now);
        for (const auto& told : right.counts(now))
            left.learn(told, now);
    };
    auto& own = gateways_.at(i).counts;
    exchange(own, monitors_.at(i % 2));
    if (!cut_since_)
        exchange(own, monitors_.at((i + 1) % 2));
    const auto peer = pick(gateways_.size());
    if (peer != i && runs(peer) && connected(i, peer) && has_found_others(peer))
        exchange(own, gateways_.at(peer).counts);
}

inline void budget_fleet::record_request(std::size_t i)
{
    requests_.push_back(now_);
    gateways_.at(i).budget->record_request("s", boot_time(now_));
}

inline bool budget_fleet::send_repeat(std::size_t i, bool urgent)
{
    auto& budget = *gateways_.at(i).budget;
    return budget.try_reserve("s",
                              urgent ? repeat_urgency::urgent
                                     : repeat_urgency::deferrable,
                              boot_time(now_)) &&
           budget.spend("s", boot_time(now_));
}

inline void budget_fleet::borrow(std::size_t i)
{
    for (int asked = 0; runs(i) && asked < 3; ++asked) {
        const auto from = pick(gateways_.size());
        if (from == i || !runs(from) || !connected(i, from))
            continue;
        const auto amount =
            gateways_[from].budget->lend("s", 1, boot_time(now_));
        // A grant may be lost, and may arrive late at one that pauses.
        if (amount > 0 && pick(10) != 0)
            grants_.push_back({gateways_[i].budget.get(), amount, now_,
                               now_ + milliseconds(pick(20) * 100)});
    }
}

inline void budget_fleet::deliver_grants()
{
    std::erase_if(grants_, [this](const grant& each) {
        if (each.arrives > now_)
            return false;
        for (const auto& to : gateways_)
            if (to.budget.get() == each.to)
                to.budget->borrow("s", each.amount, boot_time(each.asked),
                                  boot_time(now_));
        return true;
    });
}

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_BUDGET_FLEET_HPP
