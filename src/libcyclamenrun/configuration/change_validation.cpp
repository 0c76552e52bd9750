#include "change_validation.hpp"

#include "configuration_resources.hpp"

#include <algorithm>
#include <array>
#include <set>

namespace cyclamenrun
{

namespace
{

using errors = std::vector<field_error>;

constexpr std::array<std::string_view, 10> problem_names{
    "missing",           "malformed",        "too_long",  "out_of_range",
    "not_allowed_here",  "mismatch",         "duplicate", "too_many",
    "unknown_reference", "still_referenced",
};

bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

bool is_id_character(char c)
{
    return is_name_character(c) || (c >= 'A' && c <= 'Z') || c == '.' ||
           c == '_';
}

bool is_printable(char c)
{
    return c > ' ' && c <= '~';
}

using character_test = bool (*)(char);

/** Allowed characters and length of a text field. */
struct text_rule {
    character_test allowed;
    std::size_t max_length;
    const char* description;
};

constexpr text_rule name_rule{is_name_character, change_limits::max_name_length,
                              "1 to 63 of a-z, 0-9 and '-'"};
constexpr text_rule id_rule{is_id_character,
                            change_limits::max_change_id_length,
                            "1 to 64 of A-Z, a-z, 0-9, '.', '_' and '-'"};
constexpr text_rule model_rule{is_printable, change_limits::max_model_length,
                               "1 to 128 printable characters without spaces"};

void check_text(errors& found, const char* field, const std::string& text,
                const text_rule& rule)
{
    if (text.empty())
        found.push_back({field, change_problem::missing, rule.description});
    else if (text.size() > rule.max_length)
        found.push_back({field, change_problem::too_long, rule.description});
    else if (!std::all_of(text.begin(), text.end(), rule.allowed))
        found.push_back({field, change_problem::malformed, rule.description});
}

void check_optional_text(errors& found, const char* field,
                         const std::string& text, const text_rule& rule)
{
    if (!text.empty())
        check_text(found, field, text, rule);
}

/**
 * Also rejects negative numbers, which are encoded as very large unsigned
 * values.
 */
void check_range(errors& found, const char* field, std::uint64_t value,
                 std::uint64_t low, std::uint64_t high)
{
    if (value < low || value > high)
        found.push_back({field, change_problem::out_of_range,
                         std::to_string(low) + " to " + std::to_string(high)});
}

void check_length(errors& found, const char* field, const std::string& bytes,
                  std::size_t length)
{
    if (bytes.size() != length)
        found.push_back({field, change_problem::malformed,
                         std::to_string(length) + " bytes"});
}

void check_model_service(errors& found, const v1::Service& service)
{
    check_text(found, "service.model", service.model(), model_rule);
    if (service.objective() != v1::OBJECTIVE_STALL_TIME &&
        service.objective() != v1::OBJECTIVE_TOKEN_LATENCY)
        found.push_back({"service.objective", change_problem::missing,
                         "stall time or token latency"});
}

void check_application_service(errors& found, const v1::Service& service)
{
    if (!service.model().empty())
        found.push_back({"service.model", change_problem::not_allowed_here,
                         "no value; only model services have a model"});
    if (service.objective() != v1::OBJECTIVE_UNSPECIFIED)
        found.push_back({"service.objective", change_problem::not_allowed_here,
                         "no value; only model services have an objective"});
}

void check_service(errors& found, const v1::Service& service)
{
    if (service.kind() == v1::SERVICE_KIND_MODEL)
        check_model_service(found, service);
    else if (service.kind() == v1::SERVICE_KIND_APPLICATION)
        check_application_service(found, service);
    else
        found.push_back(
            {"service.kind", change_problem::missing, "model or application"});
    check_range(found, "service.max_output_tokens", service.max_output_tokens(),
                0, change_limits::max_output_tokens);
    check_range(found, "service.max_prompt_tokens", service.max_prompt_tokens(),
                0, change_limits::max_prompt_tokens);
    check_range(found, "service.default_deadline_ms",
                service.default_deadline_ms(), 0,
                change_limits::max_deadline_ms);
}

void check_team_services(errors& found, const v1::Team& team)
{
    if (static_cast<std::size_t>(team.services_size()) >
        change_limits::max_team_services) {
        found.push_back(
            {"team.services", change_problem::too_many, "at most 256"});
        return;
    }
    std::set<std::string> seen;
    for (const auto& service : team.services()) {
        check_text(found, "team.services", service, name_rule);
        if (!seen.insert(service).second)
            found.push_back({"team.services", change_problem::duplicate,
                             "each service listed once"});
    }
}

void check_team(errors& found, const v1::Team& team)
{
    check_length(found, "team.key_salt", team.key_salt(),
                 change_limits::key_salt_bytes);
    check_length(found, "team.key_hash", team.key_hash(),
                 change_limits::key_hash_bytes);
    check_range(found, "team.weight", team.weight(), 1,
                change_limits::max_weight);
    check_range(found, "team.max_concurrent", team.max_concurrent(), 0,
                change_limits::max_concurrent);
    check_range(found, "team.tokens_per_second", team.tokens_per_second(), 0,
                change_limits::max_tokens_per_second);
    check_team_services(found, team);
}

void check_assignment(errors& found, const v1::Assignment& assignment)
{
    check_text(found, "assignment.service", assignment.service(), name_rule);
    check_text(found, "assignment.model", assignment.model(), model_rule);
    check_optional_text(found, "assignment.adapter", assignment.adapter(),
                        model_rule);
    check_optional_text(found, "assignment.version", assignment.version(),
                        model_rule);
    const std::string& role = assignment.role();
    if (!role.empty() && role != "mixed" && role != "prefill" &&
        role != "decode")
        found.push_back({"assignment.role", change_problem::malformed,
                         "empty, mixed, prefill or decode"});
}

void check_same_name(errors& found, const char* field, const std::string& name,
                     const v1::ChangeRecord& change)
{
    if (name != change.name())
        found.push_back({field, change_problem::mismatch, "same as name"});
}

v1::ResourceKind kind_of(const v1::Resource& resource)
{
    switch (resource.what_case()) {
    case v1::Resource::kService:
        return v1::RESOURCE_KIND_SERVICE;
    case v1::Resource::kTeam:
        return v1::RESOURCE_KIND_TEAM;
    case v1::Resource::kAssignment:
        return v1::RESOURCE_KIND_ASSIGNMENT;
    case v1::Resource::WHAT_NOT_SET:
        break;
    }
    return v1::RESOURCE_KIND_UNSPECIFIED;
}

void check_resource(errors& found, const v1::ChangeRecord& change)
{
    const v1::Resource& resource = change.resource();
    if (kind_of(resource) != change.kind()) {
        found.push_back({"resource", change_problem::mismatch,
                         "a resource of the kind given in the field kind"});
        return;
    }
    if (resource.has_service()) {
        check_same_name(found, "service.name", resource.service().name(),
                        change);
        check_service(found, resource.service());
    } else if (resource.has_team()) {
        check_same_name(found, "team.name", resource.team().name(), change);
        check_team(found, resource.team());
    } else if (resource.has_assignment()) {
        check_same_name(found, "assignment.name", resource.assignment().name(),
                        change);
        check_assignment(found, resource.assignment());
    }
}

bool is_known_kind(v1::ResourceKind kind)
{
    return kind == v1::RESOURCE_KIND_SERVICE ||
           kind == v1::RESOURCE_KIND_TEAM ||
           kind == v1::RESOURCE_KIND_ASSIGNMENT;
}

bool contains(const v1::Team& team, const std::string& service)
{
    return std::find(team.services().begin(), team.services().end(), service) !=
           team.services().end();
}

void check_unreferenced(errors& found, const std::string& service,
                        const configuration_resources& resources)
{
    for (const auto* team : resources.teams()) {
        if (contains(*team, service))
            found.push_back({"name", change_problem::still_referenced,
                             "not used by team " + team->name()});
    }
    for (const auto* assignment : resources.assignments()) {
        if (assignment->service() == service)
            found.push_back({"name", change_problem::still_referenced,
                             "not used by assignment " + assignment->name()});
    }
}

void check_team_references(errors& found, const v1::Team& team,
                           const configuration_resources& resources)
{
    for (const auto& service : team.services()) {
        if (resources.service(service) == nullptr)
            found.push_back({"team.services", change_problem::unknown_reference,
                             "a service that exists, not " + service});
    }
}

void check_assignment_references(errors& found,
                                 const v1::Assignment& assignment,
                                 const configuration_resources& resources)
{
    const auto* service = resources.service(assignment.service());
    if (service == nullptr || service->kind() != v1::SERVICE_KIND_MODEL)
        found.push_back({"assignment.service",
                         change_problem::unknown_reference,
                         "a model service that exists"});
}

/** Checks that a service with assignments remains a model service. */
void check_remains_model_service(errors& found, const v1::Service& service,
                                 const configuration_resources& resources)
{
    if (service.kind() == v1::SERVICE_KIND_MODEL)
        return;
    for (const auto* assignment : resources.assignments()) {
        if (assignment->service() == service.name())
            found.push_back({"service.kind", change_problem::still_referenced,
                             "model, for assignment " + assignment->name()});
    }
}

void check_resource_count(errors& found, const v1::ChangeRecord& change,
                          const configuration_resources& resources)
{
    const auto current = resources.find(change.kind(), change.name());
    if (current && current->has_resource())
        return;
    if (resources.live_count(change.kind()) >=
        change_limits::max_resources_per_kind)
        found.push_back({"kind", change_problem::too_many, "at most 4096"});
}

} // namespace

std::string_view name_of(change_problem problem)
{
    return problem_names.at(static_cast<std::size_t>(problem));
}

std::vector<field_error> check_change(const v1::ChangeRecord& change)
{
    errors found;
    check_text(found, "change_id", change.change_id(), id_rule);
    check_text(found, "name", change.name(), name_rule);
    if (change.ByteSizeLong() > change_limits::max_record_bytes / 2)
        found.push_back({"resource", change_problem::too_long, "32 KiB"});
    if (!is_known_kind(change.kind()))
        found.push_back(
            {"kind", change_problem::missing, "service, team or assignment"});
    else if (change.has_resource())
        check_resource(found, change);
    else if (change.base_revision() == 0)
        found.push_back({"base_revision", change_problem::missing,
                         "the revision of the resource to delete"});
    return found;
}

std::vector<field_error>
check_references(const v1::ChangeRecord& change,
                 const configuration_resources& resources)
{
    errors found;
    if (!change.has_resource()) {
        if (change.kind() == v1::RESOURCE_KIND_SERVICE)
            check_unreferenced(found, change.name(), resources);
        return found;
    }
    check_resource_count(found, change, resources);
    const v1::Resource& resource = change.resource();
    if (resource.has_service())
        check_remains_model_service(found, resource.service(), resources);
    if (resource.has_team())
        check_team_references(found, resource.team(), resources);
    if (resource.has_assignment())
        check_assignment_references(found, resource.assignment(), resources);
    return found;
}

} // namespace cyclamenrun
