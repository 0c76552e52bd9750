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

/** Why the claim in force could not be told. */
enum class claim_failure : std::uint8_t {
    log_failed, ///< the log is out or slow
    behind_gap, ///< records are missing until an entry's state has come
    too_long,   ///< the end was not reached in a bounded number of reads
};

std::string_view name_of(claim_failure failure);

/**
 * Claims on the log, for an agent. It reads the log only when it has an order
 * to give: at rest its configuration comes from entries, and costs the log
 * nothing.
 */
class order_claims
{
public:
    order_claims(platform_log& log, configuration_store& store);

    /** The claim in force as of the end of the log at the time of the call. */
    tl::expected<std::optional<v1::ClaimState>, claim_failure>
    read(const std::string& upstream);

    tl::expected<std::uint64_t, log_error> append(const v1::ClaimRecord& claim);

    static constexpr int max_reads = 1000;
    static constexpr std::uint32_t page_records = 256;

private:
    platform_log& log_;
    configuration_store& store_;
    log_tail_cursor cursor_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ORDER_CLAIMS_HPP
