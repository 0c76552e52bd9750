#include "entry_settings.hpp"

#include "settings_file.hpp"
#include "settings_link_key.hpp"
#include "settings_reader.hpp"
#include "settings_writer.hpp"

namespace cyclamenrun
{

namespace
{

constexpr auto required = settings_presence::required;
constexpr auto optional = settings_presence::optional;
constexpr double mebibyte = 1048576;
constexpr double minute_ms = 60000;
constexpr double hour_ms = 60 * minute_ms;
constexpr double day_ms = 24 * hour_ms;
constexpr double max_operator_keys = 16;

void append(settings_table& table, const settings_table& rows)
{
    table.insert(table.end(), rows.begin(), rows.end());
}

settings_table listener_rows(entry_settings& settings)
{
    return {
        {"listen", &settings.listen, optional, 0, 0, "",
         "Address that callers connect to."},
        {"operator_listen", &settings.operator_listen, optional, 0, 0, "",
         "Address that operators connect to."},
        {"operator_keys", &settings.operator_keys, required, 1,
         max_operator_keys, "", "Salted hashes of the operators' keys."},
    };
}

settings_table limit_rows(entry_limits& limits)
{
    return {
        {"limits.header_bytes", &limits.header_bytes, optional, 1024, mebibyte,
         "bytes", "Maximum size of the request line and headers together."},
        {"limits.body_bytes", &limits.body_bytes, optional, 1024, 64 * mebibyte,
         "bytes", "Maximum size of a request body."},
        {"limits.prompt_bytes", &limits.prompt_bytes, optional, 1,
         64 * mebibyte, "bytes", "Maximum size of the prompt within a body."},
        {"limits.answer_bytes", &limits.answer_bytes, optional, 1024,
         256 * mebibyte, "bytes",
         "Maximum size of an answer that is buffered and delivered as a "
         "whole."},
        {"limits.connections", &limits.connections, optional, 1, 65536,
         "connections",
         "Maximum number of callers' connections that wait for a thread; "
         "further ones are closed."},
        {"limits.threads", &limits.threads, optional, 4, 8192, "threads",
         "Threads that serve callers, one for each connection in use."},
        {"limits.request_timeout_ms", &limits.request_timeout, optional, 100,
         10 * minute_ms, "ms",
         "Time for a caller to send a whole request; after it the caller is "
         "disconnected."},
        {"limits.idle_timeout_ms", &limits.idle_timeout, optional, 100, hour_ms,
         "ms", "Time after which an idle connection is closed."},
        {"limits.write_timeout_ms", &limits.write_timeout, optional, 100,
         hour_ms, "ms",
         "Time for a caller to read a part of an answer; after it the caller "
         "is disconnected and can resume a generation."},
    };
}

settings_table routing_rows(entry_routing& routing)
{
    return {
        {"routing.subset_size", &routing.subset_size, optional, 1, 1024,
         "upstreams", "Upstreams of a service that this entry uses."},
        {"routing.retry_share", &routing.retry_share, optional, 0, 1, "",
         "Retries allowed for each first attempt, on average per team."},
        {"routing.heartbeat_interval_ms", &routing.heartbeat_interval, optional,
         100, minute_ms, "ms",
         "Longest time between two heartbeats of an agent; changes are sent at "
         "once."},
    };
}

settings_table time_rows(entry_settings& settings)
{
    auto& deadlines = settings.deadlines;
    auto& drain = settings.drain;
    return {
        {"deadlines.default_ms", &deadlines.default_value, optional, 100,
         day_ms, "ms",
         "Deadline of a request that sets none, unless its service sets one."},
        {"deadlines.longest_ms", &deadlines.max_value, optional, 100, day_ms,
         "ms", "Longest deadline that a request may set."},
        {"tickets.lifetime_ms", &settings.ticket_lifetime, optional, 1000,
         day_ms, "ms", "Time for which a ticket is valid."},
        {"drain.balancer_wait_ms", &drain.balancer_wait, optional, 0,
         10 * minute_ms, "ms",
         "Time between reporting not ready and closing the listener."},
        {"drain.timeout_ms", &drain.timeout, optional, 0, day_ms, "ms",
         "Time in a planned stop for running requests to end."},
    };
}

settings_errors check_consistency(const entry_settings& settings,
                                  const std::string& file)
{
    settings_errors errors;
    if (settings.limits.prompt_bytes > settings.limits.body_bytes)
        errors.push_back({settings_problem::contradictory, file, 0,
                          "limits.prompt_bytes", "at most limits.body_bytes"});
    if (settings.deadlines.default_value > settings.deadlines.max_value)
        errors.push_back({settings_problem::contradictory, file, 0,
                          "deadlines.default_ms",
                          "at most deadlines.longest_ms"});
    return errors;
}

} // namespace

settings_table entry_rows(entry_settings& settings)
{
    auto table = process_rows(settings);
    append(table, listener_rows(settings));
    append(table, platform_rows(settings));
    append(table, limit_rows(settings.limits));
    append(table, routing_rows(settings.routing));
    append(table, time_rows(settings));
    return table;
}

settings_outcome<entry_settings> parse_entry_settings(std::string_view text,
                                                      const std::string& file)
{
    entry_settings settings;
    auto errors = read_settings(entry_rows(settings), text, file);
    if (errors.empty())
        errors = resolve_link_key(settings, file);
    if (errors.empty())
        errors = check_consistency(settings, file);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return settings;
}

settings_outcome<entry_settings> read_entry_settings(const std::string& file)
{
    return read_settings_file(file).and_then([&](const std::string& text) {
        return parse_entry_settings(text, file);
    });
}

std::string default_entry_settings()
{
    entry_settings settings;
    return write_settings(entry_rows(settings));
}

} // namespace cyclamenrun
