#ifndef CYCLAMENRUN_BENCH_PATH_BENCH_HPP
#define CYCLAMENRUN_BENCH_PATH_BENCH_HPP

#include "path_settings.hpp"
#include "path_target.hpp"

#include <cstdint>
#include <vector>

namespace cyclamenrun::bench
{

/** What a process took: memory before the streams and among them. */
struct process_use {
    int process = 0;
    std::uint64_t kilobytes_before = 0;
    std::uint64_t kilobytes_during = 0;
    double processor_seconds = 0; ///< during the whole run
};

struct path_result {
    path_target direct;
    path_target through;
    /** First token: through less direct, of two that started together. */
    path_samples first_token_added;
    std::vector<process_use> processes;
};

/**
 * Streams through the system and past it, to the same engine at the same
 * time, so that whatever else the machine does falls on both alike. Streams
 * start in pairs, one each way, and each pair that ends is followed by another
 * until the time is over. All load
 * comes from one thread; targets are on loopback, or it refuses to run.
 */
path_result measure_path(const path_settings& settings);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_BENCH_HPP
