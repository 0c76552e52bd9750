#ifndef CYCLAMENRUN_BENCH_PATH_CONNECTIONS_HPP
#define CYCLAMENRUN_BENCH_PATH_CONNECTIONS_HPP

#include "path_samples.hpp"

#include <chrono>
#include <cstddef>

namespace cyclamenrun::bench
{

struct connections_settings {
    std::size_t connections = 200;
    std::chrono::seconds idle{30};
};

struct connections_result {
    /** Connect, handshake, a request and its answer, in milliseconds. */
    path_samples first_answer;
    /** The same on a connection that stands, in milliseconds. */
    path_samples next_answer;
    double bytes_per_connection = 0; ///< heap of both ends
    /** Processor time of both ends of one idle connection, a second. */
    double idle_microseconds = 0;
};

/** Links to as many peers, all in this process, that then do nothing. */
connections_result measure_connections(const connections_settings& settings);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_CONNECTIONS_HPP
