#ifndef CYCLAMENRUN_BENCH_PATH_LINKS_HPP
#define CYCLAMENRUN_BENCH_PATH_LINKS_HPP

#include "log_histogram.hpp"

#include <chrono>
#include <cstdint>

namespace cyclamenrun::bench
{

/** Settings of a link measurement. */
struct links_settings {
    std::size_t streams = 300;
    std::uint64_t tokens_per_second = 30; ///< of each stream
    std::size_t token_bytes = 100;
    std::chrono::seconds time{5};
};

struct links_result {
    std::uint64_t frames = 0;
    double client_microseconds = 0; ///< processor time of its loop per frame
    double server_microseconds = 0;
    double producer_microseconds = 0; ///< of the thread that produces tokens
    double bytes_per_stream = 0;      ///< heap of both ends while data flows
    /** From the creation of a token to on_frame, in microseconds. */
    log_histogram delay;
};

/**
 * Measures streams between a link client and a link server in this process,
 * each on its own loop.
 */
links_result measure_links(const links_settings& settings);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_LINKS_HPP
