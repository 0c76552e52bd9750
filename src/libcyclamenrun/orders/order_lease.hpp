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
    milliseconds lease{10'000};      ///< counted from when the claim was sent
    milliseconds margin{2'000};      ///< for clock drift and orders in transit
    milliseconds order_limit{3'000}; ///< time limit of one order
    milliseconds retry_after{500};   ///< after a failed append or read
};

/** The next step that an order_lease requires. */
enum class lease_step : std::uint8_t {
    read_claim,   ///< read the log to its end, then call on_claim_read()
    append_claim, ///< call on_claim_sent(), then append claim()
    wait,         ///< wait until wake_at()
    act,          ///< send orders, checking may_send_order() before each
    stood_down,   ///< another agent has taken over: never send orders again
};

std::string_view name_of(lease_step step);

/**
 * One agent's right to send orders to its upstream's engine. The agent's claim
 * on the log is assigned a fencing number. If the engine ignores fencing
 * numbers, a new claimant waits until all earlier leases have expired and reads
 * the claim again. The holder stops by its own monotonic clock, counted from
 * before its claim was sent. At most one claimant therefore sends orders at a
 * time.
 */
class order_lease
{
public:
    order_lease(std::string upstream, std::uint64_t incarnation,
                order_lease_settings settings);

    /** Returns the next step towards the right to send an order. */
    lease_step next(time_point now) const;
    time_point wake_at() const { return wake_at_; }

    v1::ClaimRecord claim() const;
    void on_claim_sent(time_point now);
    /**
     * Handles an append or read of the claim that failed. The claim may still
     * be on the log if only the answer was lost; the next read shows it.
     */
    void on_claim_failed(time_point now);

    /** Handles the current claim as of the log's end at `read_started_at`. */
    void on_claim_read(const std::optional<v1::ClaimState>& current,
                       time_point read_started_at, time_point now);

    /** Whether an order may be sent. Callers check it before each order. */
    bool may_send_order(time_point now) const;

    /** The fencing number of the held claim; 0: none. */
    std::uint64_t fencing_number() const { return held_number_; }

private:
    enum class phase : std::uint8_t {
        unread,    ///< the current claim was not read yet
        unclaimed, ///< the claim, or its renewal, is to be sent
        sent,      ///< the claim was sent, but not read back yet
        held,
        superseded ///< another agent has claimed
    };

    void handle_own_claim(std::uint64_t number, time_point read_started_at,
                          time_point now);
    void handle_other_claim(std::uint64_t number);
    void reset_claim();
    bool has_time_for_order(time_point now) const;

    std::string upstream_;
    std::uint64_t incarnation_;
    order_lease_settings settings_;
    phase phase_ = phase::unread;
    std::uint64_t base_number_ = 0; ///< of the claim that was read last
    std::uint64_t held_number_ = 0; ///< 0: no claim is held
    std::optional<time_point> first_sent_at_; ///< of the unconfirmed claim
    time_point lease_end_ = time_point::min();
    time_point exclusive_from_ = time_point::max();
    bool exclusive_ = false; ///< no earlier lease has to be waited for
    time_point wake_at_ = time_point::min();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ORDER_LEASE_HPP
