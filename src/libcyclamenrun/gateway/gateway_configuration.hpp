#ifndef CYCLAMENRUN_GATEWAY_CONFIGURATION_HPP
#define CYCLAMENRUN_GATEWAY_CONFIGURATION_HPP

#include "clock.hpp"
#include "secret.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Form of a route's answers. */
enum class answer_shape : std::uint8_t {
    whole,        ///< one body
    event_stream, ///< events that are relayed as they arrive
};

/** A service and its share of a route's requests. */
struct weighted_service {
    std::string service;
    unsigned weight = 1;
};

/** Rules for the requests of one host and path prefix. */
struct gateway_route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    answer_shape shape = answer_shape::whole;
    bool idempotent = false;
    bool resumable = false; ///< a stream that a new run may continue
    std::vector<weighted_service> services;
    milliseconds timeout{0};    ///< maximum time to the final answer; 0: none
    milliseconds objective{0};  ///< target for the time to the first part
    milliseconds gap_target{0}; ///< target for the pauses of a stream
    unsigned max_attempts = 1;  ///< upstreams tried per request
    unsigned priority = 0;      ///< 0 is the most urgent
    bool is_public = false;     ///< needs no key
};

/** Properties of the model engines of a service. */
struct engine_traits {
    unsigned slots = 0;              ///< generations that it runs at a time
    std::uint64_t memory_tokens = 0; ///< its memory in tokens
    double token_bytes = 0; ///< memory of one token; not used by the gateway
    double link_mbps = 0;   ///< speed of the VM's link; not used by the gateway
    bool moves = false;     ///< running generations can be moved
    bool backups = false;   ///< running generations can be replicated
};

struct gateway_service {
    std::string name;
    std::optional<engine_traits> engine; ///< empty: a plain service
    std::string health_target = {}; ///< health check target of each upstream
    milliseconds cold_time{
        0}; ///< for which an upstream is cold after its start
    /** Requests a second that a cold upstream takes; empty: any number. */
    std::optional<double> cold_rate = std::nullopt;
};

struct gateway_team {
    std::string name;
    std::vector<secret> keys;
    std::optional<unsigned> priority; ///< overrides the route's priority
};

/** Limits on callers' requests. */
struct gateway_limits {
    std::size_t header_bytes = std::size_t(16) << 10;
    std::size_t body_bytes = std::size_t(4) << 20;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/** One accepted version of the operators' configuration. */
struct gateway_configuration {
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    std::vector<gateway_team> teams;
    /** If false, every caller is served without a key. */
    bool has_teams = false;
    gateway_limits limits;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_CONFIGURATION_HPP
