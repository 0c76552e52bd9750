#ifndef CYCLAMENRUN_RESOURCE_FILE_HPP
#define CYCLAMENRUN_RESOURCE_FILE_HPP

#include "config.pb.h"
#include "settings_error.hpp"
#include "settings_row.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** The keys of one `[[service]]` table in a resource file. */
struct service_table {
    std::string name;
    upstream_kind kind = upstream_kind::model;
    std::string objective;
    std::string model;
    std::uint64_t max_output_tokens = 0;
    std::uint64_t max_prompt_tokens = 0;
    std::uint64_t default_deadline_ms = 0;
};

/** The keys of one `[[team]]` table. */
struct team_table {
    std::string name;
    std::string key_hash;
    std::uint64_t weight = 1;
    std::uint64_t max_concurrent = 0;
    std::uint64_t tokens_per_second = 0;
    std::vector<std::string> services;
};

/** The keys of one `[[assignment]]` table. */
struct assignment_table {
    std::string name;
    std::string service;
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;
};

/** Rows whose targets are members of `table`, which must outlive them. */
settings_table service_rows(service_table& table);
settings_table team_rows(team_table& table);
settings_table assignment_rows(assignment_table& table);

/**
 * Parses a file that an operator wrote for `cyclamenrunctl apply`. Returns the
 * resources in an order in which they can be applied: services first, since
 * teams and assignments refer to them. Checks the syntax and each value by
 * itself; the entry checks the rules of the resources.
 */
settings_outcome<std::vector<v1::Resource>>
parse_resource_file(std::string_view text, const std::string& file);

v1::ResourceKind resource_kind(const v1::Resource& resource);
const std::string& resource_name(const v1::Resource& resource);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RESOURCE_FILE_HPP
