#include "resource_printer.hpp"

#include "text_table.hpp"

#include <google/protobuf/util/json_util.h>
#include <iostream>

namespace cyclamenrun
{

namespace
{

std::string limit_text(std::uint64_t limit)
{
    return limit == 0 ? "-" : std::to_string(limit);
}

std::string text_or_dash(const std::string& text)
{
    return text.empty() ? "-" : text;
}

std::string kind_text(v1::ServiceKind kind)
{
    return kind == v1::SERVICE_KIND_MODEL ? "model" : "application";
}

std::string objective_text(v1::Objective objective)
{
    switch (objective) {
    case v1::OBJECTIVE_STALL_TIME:
        return "stall_time";
    case v1::OBJECTIVE_TOKEN_LATENCY:
        return "token_latency";
    default:
        return "-";
    }
}

std::string services_text(const v1::Team& team)
{
    std::string text;
    for (const auto& service : team.services())
        text += (text.empty() ? "" : ",") + service;
    return text.empty() ? "all" : text;
}

void print_services(const v1::ListResourcesResponse& response)
{
    text_table table(
        {"NAME", "KIND", "OBJECTIVE", "MODEL", "MAX-OUTPUT", "REVISION"});
    for (const auto& state : response.resources()) {
        const auto& service = state.resource().service();
        table.add({service.name(), kind_text(service.kind()),
                   objective_text(service.objective()),
                   text_or_dash(service.model()),
                   limit_text(service.max_output_tokens()),
                   std::to_string(state.revision())});
    }
    table.write(std::cout);
}

void print_teams(const v1::ListResourcesResponse& response)
{
    text_table table({"NAME", "WEIGHT", "MAX-CONCURRENT", "TOKENS/S",
                      "SERVICES", "REVISION"});
    for (const auto& state : response.resources()) {
        const auto& team = state.resource().team();
        table.add({team.name(), std::to_string(team.weight()),
                   limit_text(team.max_concurrent()),
                   limit_text(team.tokens_per_second()), services_text(team),
                   std::to_string(state.revision())});
    }
    table.write(std::cout);
}

void print_assignments(const v1::ListResourcesResponse& response)
{
    text_table table(
        {"NAME", "SERVICE", "MODEL", "ADAPTER", "VERSION", "ROLE", "REVISION"});
    for (const auto& state : response.resources()) {
        const auto& assignment = state.resource().assignment();
        table.add({assignment.name(), assignment.service(), assignment.model(),
                   text_or_dash(assignment.adapter()),
                   text_or_dash(assignment.version()),
                   text_or_dash(assignment.role()),
                   std::to_string(state.revision())});
    }
    table.write(std::cout);
}

} // namespace

void print_resources(v1::ResourceKind kind,
                     const v1::ListResourcesResponse& response)
{
    if (kind == v1::RESOURCE_KIND_SERVICE)
        print_services(response);
    else if (kind == v1::RESOURCE_KIND_TEAM)
        print_teams(response);
    else
        print_assignments(response);
}

std::string describe(v1::ResourceKind kind, const std::string& name)
{
    switch (kind) {
    case v1::RESOURCE_KIND_SERVICE:
        return "service " + name;
    case v1::RESOURCE_KIND_TEAM:
        return "team " + name;
    case v1::RESOURCE_KIND_ASSIGNMENT:
        return "assignment " + name;
    default:
        return name;
    }
}

std::string describe(const v1::Resource& resource)
{
    auto shown = resource;
    if (shown.has_team()) {
        shown.mutable_team()->clear_key_salt();
        shown.mutable_team()->clear_key_hash();
    }
    std::string text;
    const auto status =
        google::protobuf::util::MessageToJsonString(shown, &text);
    return status.ok() ? text : "";
}

} // namespace cyclamenrun
