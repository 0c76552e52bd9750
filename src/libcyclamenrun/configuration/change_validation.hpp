#ifndef CYCLAMENRUN_CHANGE_VALIDATION_HPP
#define CYCLAMENRUN_CHANGE_VALIDATION_HPP

#include "config.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

class configuration_resources;

/** The kind of error in a field of a change. */
enum class change_problem : std::uint8_t {
    missing,
    malformed,
    too_long,
    out_of_range,
    not_allowed_here,
    mismatch,
    duplicate,
    too_many,
    unknown_reference,
    still_referenced,
};

std::string_view name_of(change_problem problem);

/** A field of a change that fails a check. */
struct field_error {
    std::string field; ///< path, e.g. team.weight
    change_problem problem = change_problem::malformed;
    std::string valid_values; ///< human-readable description of valid values

    bool operator==(const field_error&) const = default;
};

/**
 * Limits on the fields of a change. All readers of the log check records
 * against these limits and have to reach the same result, so changing a limit
 * requires a new schema number of the record.
 */
namespace change_limits
{
constexpr std::size_t max_change_id_length = 64;
constexpr std::size_t max_name_length = 63;
constexpr std::size_t max_model_length = 128;
constexpr std::size_t max_team_services = 256;
constexpr std::size_t max_resources_per_kind = 4096;
/** Of a record on the log. A change may take up to half of it. */
constexpr std::size_t max_record_bytes = 64UL * 1024;
constexpr std::uint32_t max_output_tokens = 1U << 20U;
constexpr std::uint32_t max_prompt_tokens = 1U << 22U;
constexpr std::uint64_t max_deadline_ms = 24ULL * 60 * 60 * 1000;
constexpr std::uint32_t max_weight = 1000;
constexpr std::uint32_t max_concurrent = 1'000'000;
constexpr std::uint64_t max_tokens_per_second = 1'000'000'000;
constexpr std::size_t key_salt_bytes = 16;
constexpr std::size_t key_hash_bytes = 32;
} // namespace change_limits

/**
 * Runs the checks that depend on the change alone, so that their result is the
 * same at any time.
 */
std::vector<field_error> check_change(const v1::ChangeRecord& change);

/** Checks the change against the resources in force when it is applied. */
std::vector<field_error>
check_references(const v1::ChangeRecord& change,
                 const configuration_resources& resources);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CHANGE_VALIDATION_HPP
