#ifndef CYCLAMENRUN_LOG_FIELD_HPP
#define CYCLAMENRUN_LOG_FIELD_HPP

#include "clock.hpp"
#include "generation_id.hpp"
#include "refusal.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamenrun
{

/** Keys of the fields of log events, named as they are written. */
enum class log_key : std::uint8_t {
    address,
    age_ms,
    attempt,
    bytes,
    change_id,
    cost,
    count,
    deadline_ms,
    detail,
    duration_ms,
    errors,
    expected_tokens,
    failure_domain,
    fence,
    fingerprint,
    first_ms,
    framing,
    generation,
    incarnation,
    incomplete,
    infos,
    kind,
    left_out,
    limit,
    load_age_ms,
    longest_pause_ms,
    memory_taken,
    name,
    next,
    offset,
    output_tokens,
    path,
    process,
    prompt_parts,
    queued,
    reason,
    recent_parts,
    request_id,
    retries_left,
    retry_after_ms,
    revision,
    route,
    running,
    second_cost,
    service,
    signal,
    slots_taken,
    status,
    team,
    tokens,
    upstream,
    version,
    wait_taken,
    warnings,
    weighed,
};

std::string_view name_of(log_key key);

/** One typed field of a log event. */
class log_field
{
public:
    using value_type =
        std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

    log_field(log_key key, std::string_view text)
        : key_(key), value_(std::string(text))
    {
    }
    log_field(log_key key, const std::string& text)
        : log_field(key, std::string_view(text))
    {
    }
    log_field(log_key key, const char* text)
        : log_field(key, std::string_view(text))
    {
    }
    log_field(log_key key, bool flag) : key_(key), value_(flag) {}
    log_field(log_key key, double number) : key_(key), value_(number) {}
    template <std::signed_integral Number>
    log_field(log_key key, Number number)
        : key_(key), value_(std::int64_t{number})
    {
    }
    template <std::unsigned_integral Number>
    requires(!std::same_as<Number, bool>) log_field(log_key key, Number number)
        : key_(key), value_(std::uint64_t{number})
    {
    }
    log_field(log_key key, milliseconds time)
        : key_(key), value_(std::int64_t{time.count()})
    {
    }
    log_field(log_key key, refusal_reason reason)
        : log_field(key, name_of(reason))
    {
    }
    log_field(log_key key, refusal_kind kind) : log_field(key, name_of(kind)) {}
    /**
     * Omits the id's secret, since a reader of the logs could resume the
     * generation with it.
     */
    log_field(log_key key, const generation_id& generation);

    log_key key() const { return key_; }
    const value_type& value() const { return value_; }

private:
    log_key key_;
    value_type value_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_FIELD_HPP
