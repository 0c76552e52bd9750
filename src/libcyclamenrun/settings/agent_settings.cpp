#include "agent_settings.hpp"

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
constexpr double max_name_bytes = 63;

void append(settings_table& table, const settings_table& rows)
{
    table.insert(table.end(), rows.begin(), rows.end());
}

settings_table top_level_rows(agent_settings& settings)
{
    return {
        {"service", &settings.service, required, 1, max_name_bytes, "",
         "Service that the upstream belongs to."},
        {"listen", &settings.listen, optional, 0, 0, "",
         "Address that entries connect to."},
    };
}

settings_table upstream_rows(upstream_settings& upstream)
{
    return {
        {"upstream.address", &upstream.address, required, 0, 0, "",
         "Address that the upstream listens on."},
        {"upstream.kind", &upstream.kind, optional, 0, 0, "",
         "Whether the upstream is a model engine or an application runner."},
        {"upstream.honours_fence", &upstream.honours_fence, optional, 0, 0, "",
         "Whether the engine refuses orders with an old fencing number; if "
         "not, a new agent waits until the old agent's lease has expired."},
        {"upstream.memory_tokens", &upstream.memory_tokens, optional, 1, 1e9,
         "tokens", "Capacity of the engine's memory in tokens; models only."},
        {"upstream.max_running", &upstream.max_running, optional, 1, 65536,
         "requests",
         "Maximum number of requests that run on the upstream at the same "
         "time."},
        {"upstream.max_queued", &upstream.max_queued, optional, 0, 65536,
         "requests",
         "Maximum number of requests that wait at the agent at the same time."},
        {"upstream.connect_timeout_ms", &upstream.connect_timeout, optional, 10,
         minute_ms, "ms", "Timeout for connecting to the upstream."},
        {"upstream.idle_timeout_ms", &upstream.idle_timeout, optional, 100,
         hour_ms, "ms",
         "Time without data from the upstream during an answer, after which "
         "the upstream counts as lost."},
    };
}

settings_table replay_rows(replay_settings& replay)
{
    return {
        {"replay.window_tokens", &replay.window_tokens, optional, 1, 1048576,
         "tokens",
         "Tokens of a generation kept behind its slowest reader, so that "
         "callers can resume."},
        {"replay.total_bytes", &replay.total_bytes, optional, mebibyte,
         1024 * mebibyte, "bytes",
         "Maximum size of the answers kept for all requests; above it no new "
         "work is accepted."},
        {"replay.resume_grace_ms", &replay.resume_grace, optional, 0, hour_ms,
         "ms",
         "Time for which a generation continues after its caller has "
         "disconnected."},
    };
}

settings_table tombstone_rows(tombstone_settings& tombstones)
{
    return {
        {"tombstones.lifetime_ms", &tombstones.lifetime, optional, minute_ms,
         day_ms, "ms",
         "Time for which the id of a request that was refused as not run is "
         "kept; must be longer than a link can delay a dispatch."},
        {"tombstones.most", &tombstones.capacity, optional, 1000, 10e6, "ids",
         "Maximum number of tombstones kept at the same time."},
    };
}

settings_table drain_rows(agent_settings& settings)
{
    return {
        {"drain.timeout_ms", &settings.drain_timeout, optional, 0, day_ms, "ms",
         "Time in a planned stop for running work to end and for its answers "
         "to be fetched."},
        {"drain.linger_ms", &settings.drain_linger, optional, 0, 600000, "ms",
         "Time for which a drained agent still answers requests that were in "
         "transit; must be longer than the time after which a link with no "
         "response is closed."},
    };
}

} // namespace

settings_table agent_rows(agent_settings& settings)
{
    auto table = process_rows(settings);
    append(table, top_level_rows(settings));
    append(table, platform_rows(settings));
    append(table, upstream_rows(settings.upstream));
    append(table, replay_rows(settings.replay));
    append(table, tombstone_rows(settings.tombstones));
    append(table, drain_rows(settings));
    return table;
}

settings_outcome<agent_settings> parse_agent_settings(std::string_view text,
                                                      const std::string& file)
{
    agent_settings settings;
    auto errors = read_settings(agent_rows(settings), text, file);
    if (errors.empty())
        errors = resolve_link_key(settings, file);
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return settings;
}

settings_outcome<agent_settings> read_agent_settings(const std::string& file)
{
    return read_settings_file(file).and_then([&](const std::string& text) {
        return parse_agent_settings(text, file);
    });
}

std::string default_agent_settings()
{
    agent_settings settings;
    return write_settings(agent_rows(settings));
}

} // namespace cyclamenrun
