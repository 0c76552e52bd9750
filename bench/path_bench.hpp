#ifndef CYCLAMENRUN_BENCH_PATH_BENCH_HPP
#define CYCLAMENRUN_BENCH_PATH_BENCH_HPP

#include "path_settings.hpp"
#include "path_target.hpp"

#include <cstdint>
#include <vector>

namespace cyclamenrun::bench
{

/** Memory of a process before and during the streams, and its CPU time. */
struct process_use {
    int pid = 0;
    std::uint64_t kilobytes_before = 0;
    std::uint64_t kilobytes_during = 0;
    double processor_seconds = 0; ///< during the whole run
};

/** Measurements of both paths. */
struct path_result {
    path_target direct;
    path_target through;
    /** Added time to the first token, per pair of simultaneous streams. */
    path_samples first_token_added;
    std::vector<process_use> processes;
};

/**
 * Streams from the same engine directly and through cyclamenrun.
 *
 * Streams start in pairs, one of each kind, so that other load on the machine
 * affects both alike. Each pair that ends is followed by another until the
 * time is over. One thread generates all load.
 *
 * @throws std::invalid_argument if a target is not on loopback, or a setting
 *         is out of range.
 */
path_result measure_path(const path_settings& settings);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_BENCH_HPP
