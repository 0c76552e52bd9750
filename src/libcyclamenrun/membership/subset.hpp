#ifndef CYCLAMENRUN_SUBSET_HPP
#define CYCLAMENRUN_SUBSET_HPP

#include "vm_list.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/** How many upstreams of one service an entry has to do with. */
struct subset_settings {
    std::size_t size = 24;
    std::size_t overlap = 3; ///< entries that each upstream is to be known to
    std::size_t max_size = 128;
};

/**
 * The size to choose: enough that `entries` together know each of `upstreams`
 * about `overlap` times.
 */
std::size_t subset_size(const subset_settings& settings, std::size_t upstreams,
                        std::size_t entries);

/**
 * At most `size` of the upstreams. Each failure domain gets its share by the
 * number of its upstreams, but one at least; who it is comes of a rendezvous
 * hash of entry and upstream, so that entries differ, upstreams are known to
 * about equally many, and one joining or leaving changes about one place.
 */
std::vector<std::string> choose_subset(std::string_view entry,
                                       const std::vector<vm>& upstreams,
                                       std::size_t size);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SUBSET_HPP
