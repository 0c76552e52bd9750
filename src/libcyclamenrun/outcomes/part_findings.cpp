#include "part_findings.hpp"

#include "poison_rule.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr const auto& rule = rule_of(suspect_kind::prompt_part);

/** Times that other processes tell are known with this error. */
constexpr milliseconds time_error{10};

/** One part's latest run at an upstream that was lost. */
struct accusation {
    time_point sent_at;
    time_point lost_at;
};

struct accusations {
    std::unordered_map<std::uint64_t, accusation> by_loss;
    std::unordered_set<std::uint64_t> requests;
    bool had_begun = false; ///< a run of the part when it was lost
};

using accusations_by_part = std::unordered_map<std::uint64_t, accusations>;

/** The runs that accuse their parts. */
std::vector<const lost_run*> accusing_runs(const std::vector<lost_run>& runs)
{
    std::unordered_set<std::uint64_t> begun; ///< losses
    for (const auto& run : runs)
        if (run.stage == run_stage::beginning && !run.work.parts.empty())
            begun.insert(run.loss);
    std::vector<const lost_run*> accusing;
    for (const auto& run : runs) {
        const bool waited =
            run.stage == run_stage::waiting && begun.contains(run.loss);
        if (!waited && rule.weight(run.stage) > 0 && !run.work.parts.empty())
            accusing.push_back(&run);
    }
    return accusing;
}

accusations_by_part accuse(const std::vector<const lost_run*>& runs)
{
    accusations_by_part accused;
    for (const auto* run : runs) {
        for (const auto part : run->work.parts) {
            auto& against = accused[part];
            against.requests.insert(run->work.request);
            against.had_begun =
                against.had_begun || run->stage == run_stage::beginning;
            auto& latest = against.by_loss
                               .try_emplace(run->loss, accusation{run->sent_at,
                                                                  run->lost_at})
                               .first->second;
            latest.sent_at = std::max(latest.sent_at, run->sent_at);
        }
    }
    return accused;
}

/**
 * Work that crashes its upstream does so when it begins to run. So a run that
 * waited tells little of parts of which others had begun when they were lost.
 */
bool is_telling(const lost_run& run, const accusations_by_part& accused)
{
    return run.stage == run_stage::beginning ||
           std::none_of(run.work.parts.begin(), run.work.parts.end(),
                        [&](auto part) { return accused.at(part).had_begun; });
}

unsigned count_rounds(const accusations& against)
{
    std::vector<accusation> runs;
    for (const auto& [loss, run] : against.by_loss)
        runs.push_back(run);
    std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
        return a.lost_at < b.lost_at;
    });
    unsigned rounds = 0;
    std::optional<time_point> last_loss;
    for (const auto& run : runs) {
        if (last_loss && (run.sent_at + time_error < *last_loss ||
                          run.lost_at <= *last_loss + time_error))
            continue;
        ++rounds;
        last_loss = run.lost_at;
    }
    return rounds;
}

time_point last_loss_under(const accusations& against)
{
    time_point last{};
    for (const auto& [loss, run] : against.by_loss)
        last = std::max(last, run.lost_at);
    return last;
}

part_findings::evidence weigh(const accusations& against)
{
    part_findings::evidence found;
    found.losses = static_cast<unsigned>(against.by_loss.size());
    found.rounds = count_rounds(against);
    found.requests = static_cast<unsigned>(against.requests.size());
    found.last_loss = last_loss_under(against);
    found.convicted = found.losses >= rule.poison_weight &&
                      found.rounds >= rule.rounds &&
                      found.requests >= rule.requests;
    return found;
}

struct weighed_parts {
    std::unordered_map<std::uint64_t, part_findings::evidence> evidence;
    std::unordered_set<std::uint64_t> proven;    ///< parts that ran well before
    std::unordered_set<std::uint64_t> explained; ///< losses, by other parts

    bool answers_for(std::uint64_t part, std::uint64_t loss) const
    {
        return !proven.contains(part) || !explained.contains(loss);
    }
};

/**
 * Weighs what is held against each part. One that ran well before answers only
 * for losses that no other part explains, and only if they are more rounds than
 * are excused.
 */
weighed_parts weigh_parts(const accusations_by_part& accused,
                          const part_findings::run_before& has_run_before)
{
    weighed_parts weighed;
    for (const auto& [part, against] : accused) {
        const auto found = weigh(against);
        if (has_run_before(part, found.last_loss)) {
            weighed.proven.insert(part);
            continue;
        }
        weighed.evidence[part] = found;
        // Parts of one request that is sent again are all lost as often.
        if (found.rounds > rule.excused_rounds &&
            found.requests >= rule.requests)
            for (const auto& [loss, run] : against.by_loss)
                weighed.explained.insert(loss);
    }
    for (const auto part : weighed.proven) {
        auto against = accused.at(part);
        std::erase_if(against.by_loss, [&](const auto& each) {
            return weighed.explained.contains(each.first);
        });
        const auto found = weigh(against);
        if (found.rounds > rule.excused_rounds)
            weighed.evidence[part] = found;
    }
    return weighed;
}

/** The parts that the telling runs of each loss accuse. */
std::unordered_map<std::uint64_t, std::vector<std::uint64_t>>
accused_by_loss(const std::vector<const lost_run*>& runs,
                const accusations_by_part& accused,
                const weighed_parts& weighed)
{
    std::unordered_map<std::uint64_t, std::set<std::uint64_t>> sets;
    for (const auto* run : runs) {
        if (!is_telling(*run, accused))
            continue;
        for (const auto part : run->work.parts)
            if (weighed.answers_for(part, run->loss))
                sets[run->loss].insert(part);
    }
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> by_loss;
    for (const auto& [loss, parts] : sets)
        by_loss[loss].assign(parts.begin(), parts.end());
    return by_loss;
}

} // namespace

part_findings::part_findings(const std::vector<lost_run>& runs,
                             const run_before& has_run_before)
{
    const auto accusing = accusing_runs(runs);
    const auto accused = accuse(accusing);
    auto weighed = weigh_parts(accused, has_run_before);
    parts_ = std::move(weighed.evidence);
    for (const auto& [part, found] : parts_)
        if (found.convicted)
            convicted_.push_back(part);
    std::sort(convicted_.begin(), convicted_.end());
    for (auto& [loss, parts] : accused_by_loss(accusing, accused, weighed)) {
        if (!has_convicted(parts))
            continue;
        if (parts.size() == 1)
            parts_[parts.front()].certain = true;
        accused_together_.insert(std::move(parts));
    }
    for (const auto& [part, found] : parts_)
        for (const auto& [loss, run] : accused.at(part).by_loss)
            if (found.certain)
                explained_.insert(loss);
    for (auto& [part, found] : parts_) {
        const auto& losses = accused.at(part).by_loss;
        found.suspected =
            std::any_of(losses.begin(), losses.end(), [this](const auto& each) {
                return !explain(each.first);
            });
    }
}

const part_findings::evidence* part_findings::find(std::uint64_t part) const
{
    const auto found = parts_.find(part);
    return found == parts_.end() ? nullptr : &found->second;
}

bool part_findings::has_convicted(const std::vector<std::uint64_t>& parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](auto part) {
        return parts_.contains(part) && parts_.at(part).convicted;
    });
}

bool part_findings::convict(const std::vector<std::uint64_t>& parts) const
{
    if (convicted_.empty())
        return false;
    const bool is_certain =
        std::any_of(parts.begin(), parts.end(), [this](auto part) {
            const auto* against = find(part);
            return against != nullptr && against->certain;
        });
    return is_certain ||
           std::any_of(accused_together_.begin(), accused_together_.end(),
                       [&](const auto& together) {
                           return std::includes(parts.begin(), parts.end(),
                                                together.begin(),
                                                together.end());
                       });
}

} // namespace cyclamenrun
