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

/** What a caller gets from a route. */
enum class answer_shape : std::uint8_t {
    whole,        ///< one body
    event_stream, ///< events that are passed on as they come
};

/** One of the services that share a route's requests. */
struct weighted_service {
    std::string service;
    unsigned weight = 1;
};

/** How requests of one host and path prefix are served. */
struct gateway_route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    answer_shape shape = answer_shape::whole;
    bool idempotent = false;
    bool resumable = false; ///< a stream that may go on in a new run
    std::vector<weighted_service> services;
    milliseconds timeout{0};    ///< longest time to a final answer; 0: none
    milliseconds objective{0};  ///< latency at which an answer is on time
    milliseconds gap_target{0}; ///< longest pause of a stream that is on time
    unsigned max_attempts = 1;  ///< upstreams that one request may reach
    unsigned priority = 0;      ///< 0 is the most urgent
    bool is_public = false;     ///< needs no key
};

/** What is known of the model engines of a service. */
struct engine_traits {
    unsigned slots = 0;
    std::uint64_t memory_tokens = 0;
    double token_bytes = 0;
    double link_mbps = 0;
    bool moves = false;   ///< running generations can be moved
    bool backups = false; ///< running generations can be copied as they grow
};

struct gateway_service {
    std::string name;
    std::optional<engine_traits> engine; ///< empty: a plain service
    std::string health_target = {};      ///< of each of its upstreams
};

struct gateway_team {
    std::string name;
    std::vector<secret> keys;
    std::optional<unsigned> priority; ///< goes before the route's
};

/** Bounds on what callers may send. */
struct gateway_limits {
    std::size_t header_bytes = std::size_t(16) << 10;
    std::size_t body_bytes = std::size_t(4) << 20;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
};

/** One accepted version of all that operators decide. */
struct gateway_configuration {
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    std::vector<gateway_team> teams;
    /** Without teams every caller is served and no key is asked for. */
    bool has_teams = false;
    gateway_limits limits;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_CONFIGURATION_HPP
