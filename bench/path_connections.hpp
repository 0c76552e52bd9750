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
    /** Connect, handshake and one request, in milliseconds. */
    path_samples first_answer;
    /** One request on an open connection, in milliseconds. */
    path_samples next_answer;
    double bytes_per_connection = 0; ///< heap of both ends
    /**
     * Processor time for both ends of an idle connection, in microseconds per
     * second.
     */
    double idle_microseconds = 0;
};

/**
 * Opens link connections within this process, measures their answers, and then
 * their cost when idle.
 */
connections_result measure_connections(const connections_settings& settings);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_CONNECTIONS_HPP
