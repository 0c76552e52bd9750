#ifndef CYCLAMENRUN_SUSPECTED_WORK_HPP
#define CYCLAMENRUN_SUSPECTED_WORK_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/**
 * What may be to blame if an upstream crashes while it runs a request: the
 * whole request, or a part of its prompt that other requests may share.
 */
struct suspected_work {
    suspected_work() = default;
    /** Keeps each part once, and `max_suspected_parts` at the most. */
    explicit suspected_work(std::uint64_t request_fingerprint,
                            std::vector<std::uint64_t> part_fingerprints = {});

    std::uint64_t request = 0;        ///< fingerprint of the whole request
    std::vector<std::uint64_t> parts; ///< fingerprints, in ascending order
};

/**
 * Of a longer list those of the lowest fingerprints are kept, so that a part is
 * kept or left out whatever else the list holds.
 */
inline constexpr std::size_t max_suspected_parts = 64;

/** Fingerprint of a part of prompts, the same for all requests that have it. */
std::uint64_t prompt_part_fingerprint(std::string_view id);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SUSPECTED_WORK_HPP
