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

double answered_share(const trial_measures& measures, std::size_t team)
{
    return ratio(static_cast<double>(measures.team_answered[team]),
                 static_cast<double>(measures.team_requests[team]));
}

double least_answered_share(const trial_measures& measures)
{
    double least = 1;
    for (std::size_t team = 0; team < measures.team_requests.size(); ++team)
        least = std::min(least, answered_share(measures, team));
    return least;
}

} // namespace

std::vector<figure> figures_of(const trial_measures& measures)
{
    const auto callers = static_cast<double>(measures.callers);
    const auto answered = static_cast<double>(measures.answered);
    return {
        {"stall_s", ratio(measures.stall_s, callers)},
        {"stall_answered_s", ratio(measures.stall_answered_s, answered)},
        {"stall_charged_s", ratio(measures.stall_charged_s, callers)},
        {"preempt_1k",
         1000 * ratio(static_cast<double>(measures.preemptions), callers)},
        {"recomp_tok_1k",
         1000 *
             ratio(static_cast<double>(measures.recomputed_tokens), callers)},
        {"itl_p95_ms", measures.between_tokens_ms.quantile(0.95)},
        {"itl_p99_ms", measures.between_tokens_ms.quantile(0.99)},
        {"itl_p999_ms", measures.between_tokens_ms.quantile(0.999)},
        {"ttft_p50_ms", measures.first_token_ms.quantile(0.5)},
        {"ttft_p99_ms", measures.first_token_ms.quantile(0.99)},
        {"light_ttft_p99_ms",
         measures.light_team_first_token_ms.quantile(0.99)},
        {"goodput_rps", ratio(static_cast<double>(measures.answers_in_window),
                              measures.window_s)},
        {"good_tps", ratio(static_cast<double>(measures.tokens_in_window),
                           measures.window_s)},
        {"output_tps",
         ratio(static_cast<double>(measures.output_tokens), measures.window_s)},
        {"answered_pct", 100 * ratio(answered, callers)},
        {"least_team_pct", 100 * least_answered_share(measures)},
        {"refusals_pct",
         100 * ratio(static_cast<double>(measures.refusals), callers)},
        {"refusal_p99_ms", measures.refusal_ms.quantile(0.99)},
        {"gave_up_pct",
         100 * ratio(static_cast<double>(measures.gave_up), callers)},
        {"cut_short_pct",
         100 * ratio(static_cast<double>(measures.cut_short), callers)},
        {"engine_losses", static_cast<double>(measures.engine_losses)},
    };
}

} // namespace cyclamenrun::bench
