#ifndef CYCLAMENRUN_REQUEST_PROFILE_HPP
#define CYCLAMENRUN_REQUEST_PROFILE_HPP

#include "gateway_routes.hpp"
#include "request_admission.hpp"
#include "request_facts.hpp"
#include "upstream_registry.hpp"

#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cyclamenrun
{

/**
 * Estimates the resources and the duration of one admitted request, for the
 * decisions to place, move or refuse it. Does no I/O.
 */
class request_profile
{
public:
    /** Profile of a request that was not admitted. */
    request_profile() = default;
    request_profile(std::shared_ptr<const gateway_routes> routes,
                    const admitted_request& admitted,
                    const request_facts& facts);

    /** Sets the service after it was picked from the route's services. */
    void set_service(const std::string& service) { service_ = service; }

    /** Properties of the serving engines; null: a plain service. */
    const engine_traits* engine() const;
    /** `from_domain`: failure domain of the request's bytes or memory. */
    placement_request
    make_placement_request(const std::string& from_domain) const;
    /** The start request to the monitors. */
    start_request make_start_request(const std::string& id,
                                     time_point arrived) const;
    /** Timeout for establishing a connection. */
    milliseconds connect_timeout() const;

    /** True for a stream that cannot be resumed after a disconnect. */
    bool is_unresumable_stream() const;
    /** Time from the first to the last part for the maximum output. */
    milliseconds longest_duration() const;
    /** Memory at the engine after this running time, in tokens. */
    std::uint64_t memory_tokens(milliseconds running) const;
    /** True if the generation may not end before its engine is removed. */
    bool outlives(std::optional<time_point> engine_leaves_at,
                  time_point now) const;
    /** True if the request justifies the memory of a backup. */
    bool allows_backup() const;

    /**
     * Delay after which the caller should retry. `time_to_room`: expected time
     * until there is room, if known.
     */
    milliseconds retry_after(std::optional<milliseconds> time_to_room,
                             std::mt19937_64& random) const;

private:
    std::shared_ptr<const gateway_routes> routes_;
    const gateway_route* route_ = nullptr;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t max_output_tokens_ = 0;
    std::string team_; ///< empty: none
    std::string service_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_PROFILE_HPP
