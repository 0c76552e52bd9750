#ifndef CYCLAMENRUN_BENCH_TRIAL_HPP
#define CYCLAMENRUN_BENCH_TRIAL_HPP

#include "deployment.hpp"
#include "fake_engine.hpp"
#include "policy.hpp"
#include "trial_measures.hpp"
#include "workload.hpp"

#include <cstdint>
#include <string>

namespace cyclamenrun::bench
{

/** Settings of one run of a policy. */
struct trial_settings {
    deployment tested_deployment;
    policy tested_policy;
    fault_kind fault = fault_kind::none;
    double requests_per_second = 1;
    std::vector<length_pair> lengths; ///< see workload_settings
    std::uint64_t seed = 1;
    engine_settings engine;
    double warm_up_s = 120;
    double window_s = 240; ///< after the warm-up; its arrivals are measured
    /** For calibration: no deadlines and no refusals. */
    bool no_deadlines = false;
};

/** Runs one policy over one workload in virtual time. */
trial_measures run_trial(const trial_settings& settings);

/**
 * Returns the answers per second of all engines when saturated. This rate of
 * requests is load 1.0.
 *
 * Requests are spread round-robin and served first come, first served. The
 * measurement uses none of cyclamenrun's decisions, so that the reference load
 * stays the same when these change.
 */
double measured_capacity(const deployment& deployment,
                         const engine_settings& engine,
                         const std::vector<length_pair>& lengths);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_TRIAL_HPP
