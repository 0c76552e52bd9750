#ifndef CYCLAMENRUN_ORDER_LEASE_HPP
#define CYCLAMENRUN_ORDER_LEASE_HPP

#include "clock.hpp"
#include "config.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

struct order_lease_settings {
    bool engine_honours_fencing = true;
    milliseconds lease{10'000}; ///< from when the claim was sent
    milliseconds margin{2'000}; ///< for clock drift and orders on their way
    milliseconds order_limit{3'000}; ///< that one order may take
    milliseconds retry_after{500};
};

/** What the owner of an order_lease does next. */
enum class lease_step : std::uint8_t {
    read_claim,   ///< read the log to its end, then call on_claim_read()
    append_claim, ///< call on_claim_sent(), then append claim()
    wait,         ///< until wake_at()
    act,          ///< orders may be given, each after may_act()
    stood_down,   ///< another agent has taken over: never act again
};

std::string_view name_of(lease_step step);

/**
 * One agent's right to give orders to its upstream's engine. The claim on
 * the log gives a fencing number. For an engine that ignores such numbers a
 * taker first waits until the lease of whoever claimed before has run out,
 * and reads the claim again; the holder stops by its own monotonic clock,
 * counted from before its claim was sent. So at most one claimant acts.
 */
class order_lease
{
public:
    order_lease(std::string upstream, std::uint64_t incarnation,
                order_lease_settings settings);

    /** What is to be done so that an order may be given. */
    lease_step next(time_point now) const;
    time_point wake_at() const { return wake_at_; }

    v1::ClaimRecord claim() const;
    void on_claim_sent(time_point now);
    /** The log refused it or the answer was lost; reading it back decides. */
    void on_claim_failed(time_point now);

    /** The claim in force at the end of the log, as of `read_started_at`. */
    void on_claim_read(const std::optional<v1::ClaimState>& current,
                       time_point read_started_at, time_point now);

    /** Asked again right before each order is sent. */
    bool may_act(time_point now) const;

    /** Of the claim held; 0: none. */
    std::uint64_t fencing_number() const { return held_; }

private:
    enum class phase : std::uint8_t {
        unread,
        unclaimed,
        sent,
        held,
        superseded
    };

    void take_own(std::uint64_t number, time_point read_started_at,
                  time_point now);
    void take_other(std::uint64_t number);
    void forget_claim();
    bool has_time(time_point now) const;

    std::string upstream_;
    std::uint64_t incarnation_;
    order_lease_settings settings_;
    phase phase_ = phase::unread;
    std::uint64_t base_ = 0;
    std::uint64_t held_ = 0;
    std::optional<time_point> first_sent_at_; ///< of the claim not read back
    time_point lease_end_ = time_point::min();
    time_point settled_at_ = time_point::max();
    bool settled_ = false; ///< no lease of an earlier claimant is left
    time_point wake_at_ = time_point::min();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ORDER_LEASE_HPP
