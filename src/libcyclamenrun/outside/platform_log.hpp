#ifndef CYCLAMENRUN_PLATFORM_LOG_HPP
#define CYCLAMENRUN_PLATFORM_LOG_HPP

#include "clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace cyclamenrun
{

/** Why a call to the log failed, and whether an append took effect. */
enum class log_failure : std::uint8_t {
    unavailable,   ///< not appended
    timed_out,     ///< or connection lost; an append may have taken effect
    rate_limited,  ///< not appended
    too_large,     ///< not appended
    retained_away, ///< the requested records are no longer kept
    malformed,     ///< unexpected answer; an append may have taken effect
};

std::string_view name_of(log_failure failure);

struct log_error {
    log_failure failure = log_failure::unavailable;
    milliseconds retry_after = milliseconds(0); ///< only with rate_limited
    std::uint64_t first_retained = 0;           ///< only with retained_away
};

struct platform_log_record {
    std::uint64_t offset = 0;
    std::string data;

    bool operator==(const platform_log_record&) const = default;
};

/** Answer to a read. */
struct log_page {
    std::uint64_t first_retained = 0;         ///< the oldest offset still kept
    std::uint64_t next = 0;                   ///< offset of the next append
    std::vector<platform_log_record> records; ///< in order of offset
};

/** One append-only log of the platform's log service. */
class platform_log
{
public:
    platform_log() = default;
    platform_log(const platform_log&) = delete;
    platform_log& operator=(const platform_log&) = delete;
    virtual ~platform_log() = default;

    /** Returns the offset of the new record. */
    virtual tl::expected<std::uint64_t, log_error>
    append(std::string_view data) = 0;

    /**
     * Returns at most `max` records from offset `from` on; waits up to `wait`
     * for the first.
     */
    virtual tl::expected<log_page, log_error>
    read(std::uint64_t from, std::uint32_t max, milliseconds wait) = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PLATFORM_LOG_HPP
