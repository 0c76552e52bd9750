#ifndef CYCLAMENRUN_BENCH_TRIAL_MEASURES_HPP
#define CYCLAMENRUN_BENCH_TRIAL_MEASURES_HPP

#include "log_histogram.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun::bench
{

/** Measurements of one run; docs/MEASURES.md has the formulas. */
struct trial_measures {
    explicit trial_measures(std::size_t teams)
        : team_requests(teams), team_answered(teams), team_tokens(teams)
    {
    }

    double window_s = 0;
    std::uint64_t callers = 0;
    std::uint64_t answered = 0;          ///< in full and within the deadline
    std::uint64_t answers_in_window = 0; ///< whenever their requests arrived
    std::uint64_t tokens_in_window = 0;  ///< of the answers in the window
    std::uint64_t gave_up = 0;           ///< at the deadline
    std::uint64_t finally_refused = 0;   ///< refused and not retried again
    std::uint64_t cut_short = 0;         ///< failed after the first token
    std::uint64_t refusals = 0; ///< sent to callers, including those that retry
    double stall_s = 0;         ///< over all callers
    double stall_answered_s = 0; ///< over answered callers
    /** stall_answered_s plus the whole deadline for each unanswered caller. */
    double stall_charged_s = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t recomputed_tokens = 0;
    std::uint64_t output_tokens = 0;
    std::uint64_t engine_losses = 0;
    log_histogram first_token_ms;
    log_histogram light_team_first_token_ms; ///< of teams below their share
    log_histogram between_tokens_ms;
    log_histogram refusal_ms;
    std::vector<std::uint64_t> team_requests;
    std::vector<std::uint64_t> team_answered;
    std::vector<std::uint64_t> team_tokens;
};

/** A named figure of a run. */
struct figure {
    std::string name;
    double value;
};

/** Returns the reported figures in the order of the table. */
std::vector<figure> figures_of(const trial_measures& measures);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_TRIAL_MEASURES_HPP
