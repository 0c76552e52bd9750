#ifndef CYCLAMENRUN_REQUEST_FACTS_HPP
#define CYCLAMENRUN_REQUEST_FACTS_HPP

#include "clock.hpp"
#include "ip_endpoint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** A part of a prompt that other requests may share. */
struct prompt_part {
    std::string id;
    std::uint32_t tokens = 0;
};

/** What the fields of a caller's request say. */
struct request_facts {
    std::string id; ///< the caller's own, one for each time it sends
    std::string host;
    std::string key; ///< empty: none was sent
    std::optional<milliseconds> time_left;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t most_output_tokens = 0;
    /** The caller's guess, often far off. */
    std::optional<std::uint32_t> expected_output_tokens;
    std::vector<prompt_part> prompt_parts;
    std::optional<std::uint64_t> last_event_id;
};

/** Where a generation goes on from: memory that lies at an upstream. */
struct continuation {
    ip_endpoint source;
    std::string handle;
};

/** What a gateway sets on a request that it sends to an upstream. */
struct dispatch_facts {
    milliseconds time_left{0};
    std::string upstream_id;           ///< only this upstream may run it
    std::string team;                  ///< empty: none
    std::optional<ip_endpoint> backup; ///< engine that keeps a copy
    std::optional<continuation> goes_on;
    /** The last event that the caller has, in place of what it sent. */
    std::optional<std::uint64_t> last_event_id;
};

/** What the fields of an upstream's response say. */
struct response_facts {
    /** Of the request that it answers; empty: it does not say. */
    std::string request_id;
    /** The upstream vouches that it has not run the request. */
    bool not_run = false;
    /** The upstream vouches for the body. */
    bool sealed = false;
    /** For how long it keeps the connection when idle, if it says so. */
    std::optional<milliseconds> keeps_idle;
};

/** Answer to an order to copy a running generation to another engine. */
struct move_reply {
    enum class kind : std::uint8_t {
        copied,
        not_running, ///< no such generation there, or it has ended
        under_way,   ///< an order for it is being carried out
        no_room,     ///< or the destination can't be reached
        not_understood,
    };
    kind result = kind::not_understood;
    std::string handle; ///< names the memory at the source
    std::uint64_t events_made = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_FACTS_HPP
