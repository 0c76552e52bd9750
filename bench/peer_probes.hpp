#ifndef CYCLAMENRUN_BENCH_PEER_PROBES_HPP
#define CYCLAMENRUN_BENCH_PEER_PROBES_HPP

#include "capacity_probes.hpp"

#include <vector>

namespace cyclamenrun::bench
{

/**
 * Measures what the exchange between gateways costs one of 370, on a simulated
 * network without loss and a virtual clock.
 */
std::vector<capacity_constant> measure_peer_exchange();

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PEER_PROBES_HPP
