#ifndef CYCLAMENRUN_CANDIDATE_HPP
#define CYCLAMENRUN_CANDIDATE_HPP

#include "upstream_view.hpp"

#include <cstdint>
#include <string>

namespace cyclamenrun
{

/** An upstream that the router may choose, with its location and state. */
struct candidate {
    std::string upstream;
    std::string address;
    std::string service;
    std::string failure_domain;
    std::string region;
    std::uint64_t incarnation = 0; ///< 0: no report received yet
    upstream_condition state = upstream_condition::joining;
    /** Cached hash64(upstream); 0: computed at each use. */
    std::uint64_t hash = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CANDIDATE_HPP
