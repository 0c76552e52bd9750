#ifndef CYCLAMENRUN_ENTRY_SETTINGS_HPP
#define CYCLAMENRUN_ENTRY_SETTINGS_HPP

#include "process_settings.hpp"
#include "settings_error.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** Limits on callers: sizes of messages, connections and timeouts. */
struct entry_limits {
    std::uint64_t header_bytes = 16384;
    std::uint64_t body_bytes = 1048576;
    std::uint64_t prompt_bytes = 524288;
    std::uint64_t answer_bytes = 4194304;
    std::uint64_t connections = 1024;
    std::uint64_t threads = 512;
    milliseconds request_timeout{10000};
    milliseconds idle_timeout{60000};
    milliseconds write_timeout{30000};
};

/** How an entry selects upstreams and retries. */
struct entry_routing {
    std::uint64_t subset_size = 16;
    double retry_share = 0.1;
    milliseconds heartbeat_interval{10000};
};

/** Deadlines of requests. */
struct entry_deadlines {
    milliseconds default_value{600000};
    milliseconds max_value{3600000};
};

/** Times of a planned stop. */
struct entry_drain {
    milliseconds balancer_wait{5000};
    milliseconds timeout{600000};
};

/** Settings of `cyclamenrun-entry`. */
struct entry_settings : process_settings {
    ip_endpoint listen{"0.0.0.0", 8080};
    ip_endpoint operator_listen{"127.0.0.1", 8081};
    std::vector<key_hash> operator_keys;
    entry_limits limits;
    entry_routing routing;
    entry_deadlines deadlines;
    milliseconds ticket_lifetime{600000};
    entry_drain drain;
};

/** Rows whose targets are members of `settings`, which must outlive them. */
settings_table entry_rows(entry_settings& settings);

/**
 * `file` is named in error messages; its folder is the base of a relative
 * link_key_file.
 */
settings_outcome<entry_settings> parse_entry_settings(std::string_view text,
                                                      const std::string& file);

settings_outcome<entry_settings> read_entry_settings(const std::string& file);

/** Returns the text of a settings file with all defaults, as a template. */
std::string default_entry_settings();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENTRY_SETTINGS_HPP
