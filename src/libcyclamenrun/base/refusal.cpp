#include "refusal.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

struct kind_row {
    refusal_kind kind;
    std::string_view name;
};

constexpr std::array kinds{
    kind_row{refusal_kind::not_run, "not_run"},
    kind_row{refusal_kind::outcome_unknown, "outcome_unknown"},
    kind_row{refusal_kind::failed, "failed"},
};

struct reason_row {
    refusal_reason reason;
    std::string_view name;
    int http_status;
};

constexpr std::array reasons{
    reason_row{refusal_reason::bad_request, "bad_request", 400},
    reason_row{refusal_reason::unauthenticated, "unauthenticated", 401},
    reason_row{refusal_reason::forbidden, "forbidden", 403},
    reason_row{refusal_reason::unknown_service, "unknown_service", 404},
    reason_row{refusal_reason::too_large, "too_large", 413},
    reason_row{refusal_reason::deadline_passed, "deadline_passed", 504},
    reason_row{refusal_reason::queue_full, "queue_full", 503},
    reason_row{refusal_reason::team_limit, "team_limit", 429},
    reason_row{refusal_reason::no_upstream, "no_upstream", 503},
    reason_row{refusal_reason::draining, "draining", 503},
    reason_row{refusal_reason::wrong_incarnation, "wrong_incarnation", 503},
    reason_row{refusal_reason::duplicate_request, "duplicate_request", 409},
    reason_row{refusal_reason::cancelled, "cancelled", 409},
    reason_row{refusal_reason::engine_lost, "engine_lost", 502},
    reason_row{refusal_reason::engine_error, "engine_error", 502},
    reason_row{refusal_reason::upstream_lost, "upstream_lost", 502},
    reason_row{refusal_reason::agent_lost, "agent_lost", 502},
    reason_row{refusal_reason::ticket_invalid, "ticket_invalid", 400},
    reason_row{refusal_reason::ticket_expired, "ticket_expired", 410},
    reason_row{refusal_reason::ticket_used, "ticket_used", 409},
    reason_row{refusal_reason::poison, "poison", 422},
    reason_row{refusal_reason::generation_unknown, "generation_unknown", 404},
    reason_row{refusal_reason::resume_out_of_range, "resume_out_of_range", 416},
    reason_row{refusal_reason::protocol_error, "protocol_error", 502},
    reason_row{refusal_reason::not_ready, "not_ready", 503},
    reason_row{refusal_reason::retry_budget_spent, "retry_budget_spent", 503},
    reason_row{refusal_reason::reclaimed, "reclaimed", 502},
    reason_row{refusal_reason::answer_too_large, "answer_too_large", 502},
    reason_row{refusal_reason::upstream_resting, "upstream_resting", 503},
    reason_row{refusal_reason::internal, "internal", 500},
};

const reason_row& row_of(refusal_reason reason)
{
    for (const auto& row : reasons) {
        if (row.reason == reason)
            return row;
    }
    return reasons.back();
}

} // namespace

std::string_view name_of(refusal_kind kind)
{
    for (const auto& row : kinds) {
        if (row.kind == kind)
            return row.name;
    }
    return "failed";
}

std::string_view name_of(refusal_reason reason)
{
    return row_of(reason).name;
}

std::optional<refusal_kind> refusal_kind_of(std::uint32_t number)
{
    for (const auto& row : kinds) {
        if (static_cast<std::uint32_t>(row.kind) == number)
            return row.kind;
    }
    return std::nullopt;
}

std::optional<refusal_reason> refusal_reason_of(std::uint32_t number)
{
    for (const auto& row : reasons) {
        if (static_cast<std::uint32_t>(row.reason) == number)
            return row.reason;
    }
    return std::nullopt;
}

int http_status(refusal_reason reason)
{
    return row_of(reason).http_status;
}

} // namespace cyclamenrun
