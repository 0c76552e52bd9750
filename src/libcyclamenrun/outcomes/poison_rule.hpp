#ifndef CYCLAMENRUN_POISON_RULE_HPP
#define CYCLAMENRUN_POISON_RULE_HPP

#include "lost_run.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** What may crash upstreams. */
enum class suspect_kind : std::uint8_t {
    request,     ///< a whole request
    prompt_part, ///< a part of a prompt, whatever else the request holds
};

/** How far a run has got that clears a suspect. */
enum class run_progress : std::uint8_t {
    settled, ///< the upstream has answered for `settling_time`
    whole,   ///< the answer is complete
};

/** What marks a suspect, what convicts it and what clears it. */
struct poison_rule {
    suspect_kind kind;
    std::string_view name;
    /** Weight of a lost run by its stage, in the order of the enum. */
    std::array<unsigned, 3> weights;
    /** Sum of the weights that convicts. */
    unsigned poison_weight;
    /** Lost runs of which each was sent after the one before was lost. */
    unsigned rounds;
    /** Rounds that are not held against what ran well shortly before. */
    unsigned excused_rounds;
    /** Different requests among the lost runs. */
    unsigned requests;
    run_progress cleared_by;

    unsigned weight(run_stage stage) const
    {
        return weights.at(static_cast<std::size_t>(stage));
    }
};

/** In the order of the enum. */
inline constexpr std::array poison_rules{
    poison_rule{suspect_kind::request,
                "request",
                {2, 2, 1},
                4,
                1,
                0,
                1,
                run_progress::whole},
    // Requests that crash together with a deadly one are lost at the same time,
    // and a request that is lost again and again has all its parts in common
    // with itself. So neither many losses at once nor one request convict.
    poison_rule{suspect_kind::prompt_part,
                "prompt_part",
                {1, 1, 0},
                3,
                3,
                1,
                2,
                run_progress::settled},
};

inline constexpr const poison_rule& rule_of(suspect_kind kind)
{
    return poison_rules.at(static_cast<std::size_t>(kind));
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_RULE_HPP
