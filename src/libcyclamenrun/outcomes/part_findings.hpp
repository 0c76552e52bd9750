#ifndef CYCLAMENRUN_PART_FINDINGS_HPP
#define CYCLAMENRUN_PART_FINDINGS_HPP

#include "lost_run.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cyclamenrun
{

/**
 * What lost runs say of the parts of prompts: which are suspected to crash
 * upstreams, and which are convicted.
 *
 * A lost run accuses each of its parts. Where an upstream had begun to answer
 * some of its runs, those that waited accuse nothing. A part that ran well
 * shortly before is excused from a few losses, as `poison_rules` says: it was
 * lost beside a deadly one, or it has turned deadly. A convicted part is
 * certain to be deadly if some loss accuses no other part; the losses under it
 * are explained and not held against others.
 */
class part_findings
{
public:
    /** What is held against one part. */
    struct evidence {
        unsigned losses = 0;
        /** Longest series of runs, each sent after the one before was lost. */
        unsigned rounds = 0;
        unsigned requests = 0; ///< different ones among the lost runs
        time_point last_loss{};
        bool convicted = false;
        bool certain = false;   ///< and no other part can be the cause
        bool suspected = false; ///< a loss is not explained
    };

    /** Whether a part ran well shortly before a loss. */
    using run_before =
        std::function<bool(std::uint64_t part, time_point lost_at)>;

    part_findings() = default;
    /** The parts of `runs` are those that no run has cleared since. */
    part_findings(const std::vector<lost_run>& runs,
                  const run_before& has_run_before);

    /** Null: nothing is held against the part. */
    const evidence* find(std::uint64_t part) const;
    /**
     * True if a request with these parts would crash its upstream: one is
     * certain to, or they include all that some loss accuses.
     */
    bool convict(const std::vector<std::uint64_t>& parts) const;
    bool has_convicted(const std::vector<std::uint64_t>& parts) const;
    bool explain(std::uint64_t loss) const { return explained_.contains(loss); }
    /** The convicted parts, in ascending order. */
    const std::vector<std::uint64_t>& convicted() const { return convicted_; }

private:
    std::unordered_map<std::uint64_t, evidence> parts_;
    std::unordered_set<std::uint64_t> explained_; ///< losses
    /** Of each loss that accuses a convicted part, all that it accuses. */
    std::set<std::vector<std::uint64_t>> accused_together_;
    std::vector<std::uint64_t> convicted_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PART_FINDINGS_HPP
