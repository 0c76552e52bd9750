#ifndef CYCLAMENRUN_SOLO_CLAIMS_HPP
#define CYCLAMENRUN_SOLO_CLAIMS_HPP

#include "clock.hpp"
#include "suspected_work.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** A process's right to run suspects while no other process runs them. */
struct solo_claim {
    std::uint64_t id = 0;
    suspected_work suspects; ///< the request, and those of its parts
    time_point began_at;
    time_point expires_at; ///< a claim that was never released
    bool released = false;
    std::uint64_t changed = 0; ///< version of the last change
};

/**
 * The claims that a process knows, its own and those of others. Two processes
 * may claim the same before they hear of each other; then one of them, the same
 * for all who know both, has precedence.
 */
class solo_claims
{
public:
    /**
     * Adds a claim, or what another process tells of one. Returns false if that
     * is no news.
     */
    bool add(const solo_claim& claim, time_point now);
    /** Returns false if there is no such claim. */
    bool release(std::uint64_t id, std::uint64_t version);

    /** Whether another claim to the same has precedence over this one. */
    bool is_beaten(std::uint64_t id, time_point now) const;
    /** Whether any of these is claimed. */
    bool is_claimed(const suspected_work& suspects, time_point now) const;

    const std::unordered_map<std::uint64_t, solo_claim>& all() const
    {
        return claims_;
    }

private:
    void make_room(time_point now);

    std::unordered_map<std::uint64_t, solo_claim> claims_; ///< by id
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SOLO_CLAIMS_HPP
