#ifndef CYCLAMENRUN_AGENT_SETTINGS_HPP
#define CYCLAMENRUN_AGENT_SETTINGS_HPP

#include "process_settings.hpp"
#include "settings_error.hpp"
#include "upstream_kind.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** The upstream that an agent serves. */
struct upstream_settings {
    ip_endpoint address;
    upstream_kind kind = upstream_kind::model;
    bool honours_fence = false;
    std::uint64_t memory_tokens = 131072;
    std::uint64_t max_running = 64;
    std::uint64_t max_queued = 256;
    milliseconds connect_timeout{1000};
    milliseconds idle_timeout{30000};
};

/** Replay buffers, from which callers resume their generations. */
struct replay_settings {
    std::uint64_t window_tokens = 8192;
    std::uint64_t total_bytes = 67108864;
    milliseconds resume_grace{30000};
};

/** Tombstones of requests that must never start. */
struct tombstone_settings {
    milliseconds lifetime{600000};
    std::uint64_t capacity = 65536;
};

/** Settings of `cyclamenrun-agent`; its name is the upstream's id. */
struct agent_settings : process_settings {
    std::string service;
    ip_endpoint listen{"0.0.0.0", 9090};
    upstream_settings upstream;
    replay_settings replay;
    tombstone_settings tombstones;
    milliseconds drain_timeout{600000};
    milliseconds drain_linger{15000};
};

/** Rows whose targets are members of `settings`, which must outlive them. */
settings_table agent_rows(agent_settings& settings);

/**
 * `file` is named in error messages; its folder is the base of a relative
 * link_key_file.
 */
settings_outcome<agent_settings> parse_agent_settings(std::string_view text,
                                                      const std::string& file);

settings_outcome<agent_settings> read_agent_settings(const std::string& file);

/** Returns the text of a settings file with all defaults, as a template. */
std::string default_agent_settings();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_AGENT_SETTINGS_HPP
