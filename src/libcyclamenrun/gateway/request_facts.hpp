#ifndef CYCLAMENRUN_REQUEST_FACTS_HPP
#define CYCLAMENRUN_REQUEST_FACTS_HPP

#include "clock.hpp"
#include "ip_endpoint.hpp"
#include "upstream_notices.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** A part of a prompt that several requests may share. */
struct prompt_part {
    std::string id; ///< chosen by callers; equal parts have equal ids
    std::uint32_t tokens = 0;
};

/** Data in the header fields of a caller's request. */
struct request_facts {
    std::string id; ///< chosen by the caller, unique for each sent request
    std::string host;
    std::string key; ///< team's key as received; empty: none was sent
    std::optional<milliseconds> time_left; ///< until the caller's deadline
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_token_limit = 0;
    /** The caller's estimate, often inaccurate. */
    std::optional<std::uint32_t> expected_output_tokens;
    std::vector<prompt_part> prompt_parts;
    /** Request that brought the first event of the stream that it resumes. */
    std::string resumes;
    /** Last event that the caller has, if it resumes a stream. */
    std::optional<std::uint64_t> last_event_id;
};

/** Memory at an upstream from which a generation resumes. */
struct continuation {
    ip_endpoint source;
    std::string handle;
};

/** Header data that the gateway sets on a request to an upstream. */
struct dispatch_facts {
    milliseconds time_left{0};
    std::string upstream_id;           ///< only this upstream may run it
    std::string team;                  ///< empty: none
    std::optional<ip_endpoint> backup; ///< engine that holds a replica
    std::optional<continuation> resume_from;
    /** Last event that the caller has; replaces the caller's own field. */
    std::optional<std::uint64_t> last_event_id;
};

/** Data in the header fields of an upstream's response. */
struct response_facts {
    /** Request that the response answers; empty: not stated. */
    std::string request_id;
    /** The upstream confirms that it has not run the request. */
    bool not_run = false;
    /** The upstream confirms that the body is valid. */
    bool sealed = false;
    /**
     * Requests a second that the upstream takes from all gateways together;
     * empty: it names no limit.
     */
    std::optional<double> request_limit;
    upstream_notice notice; ///< what the upstream says of itself
    /** Time for which the upstream keeps an idle connection, if stated. */
    std::optional<milliseconds> keep_alive_timeout;
};

/** Reply to an order to copy a running generation to another engine. */
struct move_reply {
    enum class kind : std::uint8_t {
        copied,
        not_running, ///< the generation is unknown or has ended
        under_way,   ///< an earlier order for it is still executing
        no_room,     ///< or the destination is unreachable
        invalid_reply,
    };
    kind result = kind::invalid_reply;
    std::string handle;            ///< of the memory at the source
    std::uint64_t events_made = 0; ///< by the generation so far
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_FACTS_HPP
