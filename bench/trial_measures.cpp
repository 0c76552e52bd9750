#include "trial_measures.hpp"

#include <algorithm>

namespace cyclamenrun::bench
{

namespace
{

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

double answered_share(const trial_measures& of, std::size_t team)
{
    return ratio(static_cast<double>(of.team_answered[team]),
                 static_cast<double>(of.team_asked[team]));
}

double least_answered_share(const trial_measures& of)
{
    double least = 1;
    for (std::size_t team = 0; team < of.team_asked.size(); ++team)
        least = std::min(least, answered_share(of, team));
    return least;
}

} // namespace

std::vector<figure> figures_of(const trial_measures& of)
{
    const auto callers = static_cast<double>(of.callers);
    const auto answered = static_cast<double>(of.answered);
    return {
        {"stall_s", ratio(of.stall_s, callers)},
        {"stall_answered_s", ratio(of.stall_answered_s, answered)},
        {"stall_charged_s", ratio(of.stall_charged_s, callers)},
        {"preempt_1k",
         1000 * ratio(static_cast<double>(of.preemptions), callers)},
        {"recomp_tok_1k",
         1000 * ratio(static_cast<double>(of.recomputed_tokens), callers)},
        {"itl_p95_ms", of.between_tokens_ms.quantile(0.95)},
        {"itl_p99_ms", of.between_tokens_ms.quantile(0.99)},
        {"itl_p999_ms", of.between_tokens_ms.quantile(0.999)},
        {"ttft_p50_ms", of.first_token_ms.quantile(0.5)},
        {"ttft_p99_ms", of.first_token_ms.quantile(0.99)},
        {"light_ttft_p99_ms", of.light_team_first_token_ms.quantile(0.99)},
        {"goodput_rps",
         ratio(static_cast<double>(of.answers_in_window), of.window_s)},
        {"good_tps",
         ratio(static_cast<double>(of.tokens_in_window), of.window_s)},
        {"output_tps",
         ratio(static_cast<double>(of.output_tokens), of.window_s)},
        {"answered_pct", 100 * ratio(answered, callers)},
        {"least_team_pct", 100 * least_answered_share(of)},
        {"refusals_pct",
         100 * ratio(static_cast<double>(of.refusals), callers)},
        {"refusal_p99_ms", of.refusal_ms.quantile(0.99)},
        {"gave_up_pct", 100 * ratio(static_cast<double>(of.gave_up), callers)},
        {"cut_short_pct",
         100 * ratio(static_cast<double>(of.cut_short), callers)},
        {"engine_losses", static_cast<double>(of.engine_losses)},
    };
}

} // namespace cyclamenrun::bench
