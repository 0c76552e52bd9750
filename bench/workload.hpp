#ifndef CYCLAMENRUN_BENCH_WORKLOAD_HPP
#define CYCLAMENRUN_BENCH_WORKLOAD_HPP

#include "deployment.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun::bench
{

/** Prompt tokens per prefix block. */
constexpr std::uint32_t prefix_block_tokens = 64;

/** A caller's request; policies except the oracle can't see `output_tokens`. */
struct request {
    double arrival_s = 0;
    std::size_t team = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    std::vector<std::uint64_t> prefix_blocks;
};

/** Lengths of a request's prompt and answer. */
struct length_pair {
    std::uint32_t prompt_tokens;
    std::uint32_t output_tokens;
};

/** Reads rows `prompt_tokens,output_tokens`; skips lines without numbers. */
std::vector<length_pair> read_lengths(const std::string& file);

struct workload_settings {
    double requests_per_second = 1;
    double seconds = 300;
    /** If not empty, the lengths of requests are drawn from these. */
    std::vector<length_pair> lengths;
    /**
     * Index of a team that sends ten times its share from `heavy_from_s` on;
     * SIZE_MAX: none.
     */
    std::size_t heavy_team = SIZE_MAX;
    double heavy_from_s = 0;
};

/**
 * Returns requests that arrive in bursts, sorted by their arrival. Equal seeds
 * give equal requests.
 */
std::vector<request> make_workload(const deployment& deployment,
                                   const workload_settings& settings,
                                   std::uint64_t seed);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_WORKLOAD_HPP
