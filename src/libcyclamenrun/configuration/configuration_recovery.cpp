#include "configuration_recovery.hpp"

#include "configuration_store.hpp"
#include "log_tailer.hpp"

#include <algorithm>

namespace cyclamenrun
{

configuration_recovery::configuration_recovery(configuration_store& store,
                                               query_function query_peer)
    : store_(store), query_peer_(std::move(query_peer))
{
}

bool configuration_recovery::poll(const tail_status& tail,
                                  const std::vector<v1::ProcessRevision>& peers,
                                  time_point now)
{
    if (now < next_query_at_ || !is_needed(tail))
        return false;
    next_query_at_ = now + query_interval;
    const std::uint64_t own_revision = store_.ready() ? store_.revision() : 0;
    for (const auto& peer : peers_ahead_of(own_revision, peers)) {
        const std::string state = query_peer_(peer.process());
        if (!state.empty() && store_.restore_from_peer(state))
            return true;
    }
    return false;
}

bool configuration_recovery::is_needed(const tail_status& tail) const
{
    return tail.state == tail_state::behind_gap ||
           tail.failures_in_a_row >= min_failures;
}

std::vector<v1::ProcessRevision> configuration_recovery::peers_ahead_of(
    std::uint64_t revision, const std::vector<v1::ProcessRevision>& peers) const
{
    std::vector<v1::ProcessRevision> ahead;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(ahead),
                 [revision](const v1::ProcessRevision& peer) {
                     return peer.revision() > revision;
                 });
    std::sort(
        ahead.begin(), ahead.end(),
        [](const v1::ProcessRevision& left, const v1::ProcessRevision& right) {
            return left.revision() > right.revision();
        });
    if (ahead.size() > max_queried_peers)
        ahead.resize(max_queried_peers);
    return ahead;
}

} // namespace cyclamenrun
