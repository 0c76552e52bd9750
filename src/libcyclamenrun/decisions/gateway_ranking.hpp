#ifndef CYCLAMENRUN_GATEWAY_RANKING_HPP
#define CYCLAMENRUN_GATEWAY_RANKING_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * Orders the known gateways for each upstream by a hash of both, so that
 * gateways which know the same others agree on the order without a message.
 * The orders of different upstreams are independent. No I/O.
 */
class gateway_ranking
{
public:
    /**
     * Sets the IP address of this gateway and those of the others; returns true
     * on a change. An empty `own`: not known yet.
     */
    bool set(const std::string& own, std::vector<std::string> others);
    /** Number of gateways, this one included. */
    std::size_t size() const { return others_.size() + 1; }
    bool knows_itself() const { return !own_.empty(); }
    /** Number of gateways that come before this one for the upstream. */
    std::size_t rank(const std::string& upstream) const;

private:
    std::string own_;
    std::vector<std::string> others_; ///< sorted
    std::uint64_t own_hash_ = 0;
    std::vector<std::uint64_t> other_hashes_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_RANKING_HPP
