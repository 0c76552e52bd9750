#ifndef CYCLAMENRUN_CANDIDATE_HPP
#define CYCLAMENRUN_CANDIDATE_HPP

#include "upstream_view.hpp"

#include <cstdint>
#include <string>

namespace cyclamenrun
{

/** An upstream as the choice of one sees it. */
struct candidate {
    std::string upstream;
    std::string address;
    std::string service;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0; ///< 0: not heard of yet
    upstream_state state = upstream_state::joining;
    /** hash64(upstream), kept by the caller; 0: worked out each time. */
    std::uint64_t hash = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CANDIDATE_HPP
