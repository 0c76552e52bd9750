#include "resource_file.hpp"

#include "settings_table_reader.hpp"

namespace cyclamenrun
{

namespace
{

constexpr auto required = settings_presence::required;
constexpr auto optional = settings_presence::optional;
constexpr double max_name_bytes = 63;
constexpr double max_model_bytes = 128;
constexpr double max_services = 256;
constexpr double day_ms = 86400000;

std::string_view name_in_file(v1::Objective objective)
{
    switch (objective) {
    case v1::OBJECTIVE_STALL_TIME:
        return "stall_time";
    case v1::OBJECTIVE_TOKEN_LATENCY:
        return "token_latency";
    default:
        return "";
    }
}

std::optional<v1::Objective> parse_objective(std::string_view text)
{
    for (const auto objective :
         {v1::OBJECTIVE_UNSPECIFIED, v1::OBJECTIVE_STALL_TIME,
          v1::OBJECTIVE_TOKEN_LATENCY}) {
        if (name_in_file(objective) == text)
            return objective;
    }
    return std::nullopt;
}

/**
 * Copies a table's values into a resource; returns the errors found. `where`
 * has the file, the line and the prefix of the keys for these errors.
 */
settings_errors convert(const service_table& table, v1::Resource& resource,
                        const settings_error& where)
{
    auto& service = *resource.mutable_service();
    const bool is_model = table.kind == upstream_kind::model;
    const auto objective = parse_objective(table.objective);
    if (!objective)
        return {{settings_problem::not_allowed, where.file, where.line,
                 where.key + "objective",
                 "\"stall_time\" or \"token_latency\""}};
    service.set_name(table.name);
    service.set_kind(is_model ? v1::SERVICE_KIND_MODEL
                              : v1::SERVICE_KIND_APPLICATION);
    service.set_objective(*objective);
    service.set_model(table.model);
    service.set_max_output_tokens(table.max_output_tokens);
    service.set_max_prompt_tokens(table.max_prompt_tokens);
    service.set_default_deadline_ms(table.default_deadline_ms);
    return {};
}

settings_errors convert(const team_table& table, v1::Resource& resource,
                        const settings_error& where)
{
    auto& team = *resource.mutable_team();
    const auto hash = parse_key_hash(table.key_hash);
    if (!hash)
        return {{settings_problem::not_allowed, where.file, where.line,
                 where.key + "key_hash",
                 "SALT:HASH from `cyclamenrunctl key new TEAM`"}};
    team.set_name(table.name);
    team.set_key_salt(hash->salt);
    team.set_key_hash(hash->hash);
    team.set_weight(table.weight);
    team.set_max_concurrent(table.max_concurrent);
    team.set_tokens_per_second(table.tokens_per_second);
    for (const auto& service : table.services)
        team.add_services(service);
    return {};
}

settings_errors convert(const assignment_table& table, v1::Resource& resource,
                        const settings_error& /*where*/)
{
    auto& assignment = *resource.mutable_assignment();
    assignment.set_name(table.name);
    assignment.set_service(table.service);
    assignment.set_model(table.model);
    assignment.set_adapter(table.adapter);
    assignment.set_version(table.version);
    assignment.set_role(table.role);
    return {};
}

/** Converts a parsed resource file to resources and collects all errors. */
class file_reader
{
public:
    file_reader(const toml::table& document, const std::string& file)
        : document_(document), file_(file)
    {
    }

    settings_outcome<std::vector<v1::Resource>> read()
    {
        read_kind<service_table>("service", service_rows);
        read_kind<team_table>("team", team_rows);
        read_kind<assignment_table>("assignment", assignment_rows);
        check_keys();
        if (!errors_.empty())
            return tl::unexpected(std::move(errors_));
        return std::move(resources_);
    }

private:
    template <typename Table>
    void read_kind(std::string_view kind, settings_table (*rows)(Table&))
    {
        const auto* node = document_.get(kind);
        if (node == nullptr)
            return;
        const auto* list = node->as_array();
        if (list == nullptr || !list->is_array_of_tables()) {
            report({settings_problem::wrong_type, file_,
                    node->source().begin.line, std::string(kind),
                    "[[" + std::string(kind) + "]]"});
            return;
        }
        for (const auto& element : *list)
            read_table(*element.as_table(), kind, rows);
    }

    template <typename Table>
    void read_table(const toml::table& source, std::string_view kind,
                    settings_table (*rows)(Table&))
    {
        Table table;
        const auto line = source.source().begin.line;
        const auto prefix = std::string(kind) + '.';
        const auto row_table = rows(table);
        auto errors =
            settings_table_reader(row_table, file_, prefix).read(source, line);
        v1::Resource resource;
        if (errors.empty())
            errors = convert(table, resource, {{}, file_, line, prefix, {}});
        for (auto& error : errors)
            report(std::move(error));
        resources_.push_back(std::move(resource));
    }

    void check_keys()
    {
        for (const auto& [key, node] : document_) {
            const auto name = key.str();
            if (name != "service" && name != "team" && name != "assignment")
                report({settings_problem::unknown_key, file_,
                        key.source().begin.line, std::string(name),
                        "[[service]], [[team]] and [[assignment]]"});
        }
    }

    void report(settings_error error) { errors_.push_back(std::move(error)); }

    const toml::table& document_;
    const std::string& file_;
    std::vector<v1::Resource> resources_;
    settings_errors errors_;
};

} // namespace

settings_table service_rows(service_table& table)
{
    return {
        {"name", &table.name, required, 1, max_name_bytes, "",
         "Name, of a-z, 0-9 and '-'."},
        {"kind", &table.kind, required, 0, 0, "",
         "Whether the service's upstreams are model engines or application "
         "runners."},
        {"objective", &table.objective, optional, 0, 32, "",
         "Objective that scheduling optimizes: stall_time or token_latency; "
         "models only."},
        {"model", &table.model, optional, 0, max_model_bytes, "",
         "Name of the model in callers' requests; models only."},
        {"max_output_tokens", &table.max_output_tokens, optional, 0, 1048576,
         "tokens", "Maximum length of an answer; 0 means 65536."},
        {"max_prompt_tokens", &table.max_prompt_tokens, optional, 0, 4194304,
         "tokens", "Maximum length of a prompt; 0 means 131072."},
        {"default_deadline_ms", &table.default_deadline_ms, optional, 0, day_ms,
         "ms", "Deadline of a request that sets none; 0 means 600000."},
    };
}

settings_table team_rows(team_table& table)
{
    return {
        {"name", &table.name, required, 1, max_name_bytes, "",
         "Name, of a-z, 0-9 and '-'."},
        {"key_hash", &table.key_hash, required, 1, 128, "",
         "Salted hash of the team's key, from `cyclamenrunctl key new TEAM`."},
        {"weight", &table.weight, optional, 1, 1000, "",
         "Weight of the team's share when teams compete."},
        {"max_concurrent", &table.max_concurrent, optional, 0, 1e6, "requests",
         "Maximum number of concurrent requests; 0 means no limit."},
        {"tokens_per_second", &table.tokens_per_second, optional, 0, 1e9,
         "tokens/s",
         "Maximum rate of prompt and output tokens together; 0 means no "
         "limit."},
        {"services", &table.services, optional, 0, max_services, "",
         "Services that the team may use; empty means all."},
    };
}

settings_table assignment_rows(assignment_table& table)
{
    return {
        {"name", &table.name, required, 1, max_name_bytes, "",
         "Name, of a-z, 0-9 and '-'."},
        {"service", &table.service, required, 1, max_name_bytes, "",
         "Service to whose engines the assignment applies."},
        {"model", &table.model, required, 1, max_model_bytes, "",
         "Model to load."},
        {"adapter", &table.adapter, optional, 0, max_model_bytes, "",
         "Adapter to load, if any."},
        {"version", &table.version, optional, 0, max_model_bytes, "",
         "Version of the model."},
        {"role", &table.role, optional, 0, 16, "",
         "Role of the engines: mixed, prefill or decode; empty means mixed."},
    };
}

settings_outcome<std::vector<v1::Resource>>
parse_resource_file(std::string_view text, const std::string& file)
{
    const auto document = toml::parse(text, file);
    if (!document)
        return tl::unexpected(
            settings_errors{{settings_problem::syntax,
                             file,
                             document.error().source().begin.line,
                             {},
                             std::string(document.error().description())}});
    return file_reader(document.table(), file).read();
}

v1::ResourceKind resource_kind(const v1::Resource& resource)
{
    if (resource.has_service())
        return v1::RESOURCE_KIND_SERVICE;
    if (resource.has_team())
        return v1::RESOURCE_KIND_TEAM;
    if (resource.has_assignment())
        return v1::RESOURCE_KIND_ASSIGNMENT;
    return v1::RESOURCE_KIND_UNSPECIFIED;
}

const std::string& resource_name(const v1::Resource& resource)
{
    if (resource.has_team())
        return resource.team().name();
    if (resource.has_assignment())
        return resource.assignment().name();
    return resource.service().name();
}

} // namespace cyclamenrun
