#ifndef CYCLAMENRUN_PART_CLEARANCE_HPP
#define CYCLAMENRUN_PART_CLEARANCE_HPP

#include "clock.hpp"

#include <cstdint>
#include <utility>

namespace cyclamenrun
{

/**
 * A part of prompts has run well. Losses before that run are not held against
 * it, and those soon after it only if they show that the part has changed.
 */
struct part_clearance {
    std::uint64_t part = 0; ///< fingerprint
    /** Of the part's clearances; one who knows some adds the next. */
    std::uint32_t number = 0;
    std::uint64_t run = 0; ///< tells runs apart that others have cleared it by
    time_point ran_at;     ///< when the run began to write

    /**
     * Orders the clearances of a part. Their times do not: each message tells a
     * time a little later than it was.
     */
    bool operator<(const part_clearance& other) const
    {
        return std::pair(number, run) < std::pair(other.number, other.run);
    }
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PART_CLEARANCE_HPP
