#ifndef CYCLAMENRUN_SUBSET_HPP
#define CYCLAMENRUN_SUBSET_HPP

#include "vm_list.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** Bounds the subset of one service's upstreams that an entry uses. */
struct subset_settings {
    /** Lower bound, if there are that many upstreams. */
    std::size_t min_size = 24;
    /**
     * Minimum average number of entries whose subset contains an upstream;
     * `max_size` may reduce it.
     */
    std::size_t overlap = 3;
    std::size_t max_size = 128;
};

/**
 * Returns the subset size, within the bounds of `settings`, at which each
 * upstream is in the subsets of about `overlap` entries. `upstreams` and
 * `entries` are counts.
 */
std::size_t subset_size(const subset_settings& settings, std::size_t upstreams,
                        std::size_t entries);

/**
 * Returns at most `size` of the upstreams. Each failure domain gets a number of
 * places in proportion to its upstreams, and at least one while `size` allows.
 * A rendezvous hash of entry and upstream selects the upstreams of a domain, so
 * that subsets differ between entries, each upstream is in about equally many
 * subsets, and an upstream that joins or leaves changes about one place.
 */
std::vector<std::string> choose_subset(std::string_view entry,
                                       const std::vector<vm>& upstreams,
                                       std::size_t size);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SUBSET_HPP
