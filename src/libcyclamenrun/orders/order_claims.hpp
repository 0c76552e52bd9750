#ifndef CYCLAMENRUN_ORDER_CLAIMS_HPP
#define CYCLAMENRUN_ORDER_CLAIMS_HPP

#include "clock.hpp"
#include "config.pb.h"
#include "log_tail_cursor.hpp"
#include "platform_log.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

class configuration_store;

/** Why the current claim could not be read. */
enum class claim_failure : std::uint8_t {
    log_failed, ///< the log is unavailable or slow
    behind_gap, ///< log records are missing until an entry sends its state
    too_long,   ///< `max_reads` reads did not reach the end of the log, or one
                ///< of them returned no records
};

std::string_view name_of(claim_failure failure);

/**
 * Reads and appends claims on the platform log for an agent. A claim gives an
 * agent the right to send orders to its upstream's engine, see order_lease. The
 * agent uses the log only when it has an order to send. Otherwise entries send
 * it the configuration, which puts no load on the log.
 */
class order_claims
{
public:
    order_claims(platform_log& log, configuration_store& store);

    /**
     * Reads the log up to its end at the time of the call and returns the
     * current claim on the upstream; nullopt if there is none.
     */
    tl::expected<std::optional<v1::ClaimState>, claim_failure>
    read(const std::string& upstream);

    /** Returns the claim's offset on the log. */
    tl::expected<std::uint64_t, log_error> append(const v1::ClaimRecord& claim);

    static constexpr int max_reads = 1000;
    static constexpr std::uint32_t page_records = 256; ///< maximum per read

private:
    platform_log& log_;
    configuration_store& store_;
    log_tail_cursor cursor_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ORDER_CLAIMS_HPP
