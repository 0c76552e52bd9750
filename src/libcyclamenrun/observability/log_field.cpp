#include "log_field.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

struct key_row {
    log_key key;
    std::string_view name;
};

constexpr std::array keys{
    key_row{log_key::address, "address"},
    key_row{log_key::age_ms, "age_ms"},
    key_row{log_key::attempt, "attempt"},
    key_row{log_key::bytes, "bytes"},
    key_row{log_key::change_id, "change_id"},
    key_row{log_key::cost, "cost"},
    key_row{log_key::count, "count"},
    key_row{log_key::deadline_ms, "deadline_ms"},
    key_row{log_key::detail, "detail"},
    key_row{log_key::duration_ms, "duration_ms"},
    key_row{log_key::errors, "errors"},
    key_row{log_key::expected_tokens, "expected_tokens"},
    key_row{log_key::failure_domain, "failure_domain"},
    key_row{log_key::fence, "fence"},
    key_row{log_key::fingerprint, "fingerprint"},
    key_row{log_key::first_ms, "first_ms"},
    key_row{log_key::framing, "framing"},
    key_row{log_key::generation, "generation"},
    key_row{log_key::incarnation, "incarnation"},
    key_row{log_key::incomplete, "incomplete"},
    key_row{log_key::infos, "infos"},
    key_row{log_key::kind, "kind"},
    key_row{log_key::left_out, "left_out"},
    key_row{log_key::limit, "limit"},
    key_row{log_key::load_age_ms, "load_age_ms"},
    key_row{log_key::longest_pause_ms, "longest_pause_ms"},
    key_row{log_key::memory_taken, "memory_taken"},
    key_row{log_key::name, "name"},
    key_row{log_key::next, "next"},
    key_row{log_key::offset, "offset"},
    key_row{log_key::output_tokens, "output_tokens"},
    key_row{log_key::path, "path"},
    key_row{log_key::process, "process"},
    key_row{log_key::prompt_parts, "prompt_parts"},
    key_row{log_key::queued, "queued"},
    key_row{log_key::reason, "reason"},
    key_row{log_key::recent_parts, "recent_parts"},
    key_row{log_key::request_id, "request_id"},
    key_row{log_key::retries_left, "retries_left"},
    key_row{log_key::retry_after_ms, "retry_after_ms"},
    key_row{log_key::revision, "revision"},
    key_row{log_key::route, "route"},
    key_row{log_key::running, "running"},
    key_row{log_key::second_cost, "second_cost"},
    key_row{log_key::service, "service"},
    key_row{log_key::signal, "signal"},
    key_row{log_key::slots_taken, "slots_taken"},
    key_row{log_key::status, "status"},
    key_row{log_key::team, "team"},
    key_row{log_key::tokens, "tokens"},
    key_row{log_key::upstream, "upstream"},
    key_row{log_key::version, "version"},
    key_row{log_key::wait_taken, "wait_taken"},
    key_row{log_key::warnings, "warnings"},
    key_row{log_key::weighed, "weighed"},
};

/**
 * Returns the id without its secret. The rest is enough to find the generation
 * in the logs.
 */
std::string without_secret(const generation_id& generation)
{
    const auto whole = to_string(generation);
    return whole.substr(0, whole.rfind(':'));
}

} // namespace

std::string_view name_of(log_key key)
{
    for (const auto& row : keys) {
        if (row.key == key)
            return row.name;
    }
    return "other";
}

log_field::log_field(log_key key, const generation_id& generation)
    : log_field(key, without_secret(generation))
{
}

} // namespace cyclamenrun
