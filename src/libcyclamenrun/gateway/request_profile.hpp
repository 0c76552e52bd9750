#ifndef CYCLAMENRUN_REQUEST_PROFILE_HPP
#define CYCLAMENRUN_REQUEST_PROFILE_HPP

#include "gateway_routes.hpp"
#include "request_admission.hpp"
#include "request_facts.hpp"
#include "upstream_board.hpp"

#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cyclamenrun
{

/**
 * What one admitted request needs and how long it is likely to take: what
 * placing, moving and refusing it are decided by. No I/O.
 */
class request_profile
{
public:
    /** Of a request that no route admits. */
    request_profile() = default;
    request_profile(std::shared_ptr<const gateway_routes> routes,
                    const admitted_request& admitted,
                    const request_facts& facts);

    /** Known once it has been drawn from the route's services. */
    void set_service(const std::string& service) { service_ = service; }

    /** What is known of the engines that serve it; null: a plain service. */
    const engine_traits* engine() const;
    /** `from_domain`: where its bytes or its memory come from. */
    placement_request needs(const std::string& from_domain) const;
    /** What monitors are asked; it arrived then. */
    start_request start_wanted(const std::string& id, time_point arrived) const;
    /** Time for a connection to be established. */
    milliseconds connect_time() const;

    /** A stream that can't go on anywhere else once its caller is cut off. */
    bool must_end_here() const;
    /** Time that it takes from its first to its last part, at half of the
     * longest output. */
    milliseconds usual_duration() const;
    /** Memory that it takes at its engine after so much output. */
    std::uint64_t memory_tokens(milliseconds running) const;
    /** It would not end by itself before its engine is gone. */
    bool outlives(std::optional<time_point> engine_leaves_at,
                  time_point now) const;
    /** A copy that grows with it is worth its memory. */
    bool may_be_backed_up() const;

    /** When its caller should come back; `room_in`: if that is known. */
    milliseconds retry_after(std::optional<milliseconds> room_in,
                             std::mt19937_64& random) const;

private:
    std::shared_ptr<const gateway_routes> routes_;
    const gateway_route* route_ = nullptr;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t most_output_tokens_ = 0;
    std::string team_; ///< empty: none
    std::string service_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_PROFILE_HPP
