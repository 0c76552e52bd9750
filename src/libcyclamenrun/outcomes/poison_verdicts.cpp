#include "poison_register.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** For a part that has run well: it may be lost beside a deadly one. */
constexpr milliseconds proven_trial_delay{1'500};
constexpr milliseconds first_trial_delay{60'000};
constexpr milliseconds second_trial_delay{600'000};
/** Sum of weights of a request from which there are no more trials. */
constexpr unsigned last_trial_weight = 7;
/**
 * Losses under a part from which there is one trial only: the users allow three
 * more sends of it, those that convict it included.
 */
constexpr unsigned single_trial_losses = 5;

} // namespace

// Verdicts.

const poison_register::request_record*
poison_register::find(std::uint64_t fingerprint, time_point now) const
{
    const auto known = requests_.find(fingerprint);
    return known == requests_.end() || now >= known->second.deadline
               ? nullptr
               : &known->second;
}

const poison_register::dated_findings&
poison_register::current_findings(time_point now) const
{
    if (findings_.version == evidence_version_ && now < findings_.expires_at)
        return findings_;
    dated_findings current;
    current.version = evidence_version_;
    current.expires_at = time_point::max();
    std::vector<lost_run> runs;
    for (const auto& [fingerprint, known] : requests_) {
        if (now >= known.deadline)
            continue;
        current.expires_at = std::min(current.expires_at, known.deadline);
        for (const auto& loss : known.losses) {
            if (loss.stage == run_stage::beginning)
                current.begun_losses.insert(loss.loss);
            if (known.parts.empty())
                continue;
            runs.push_back(loss);
            runs.back().work.parts = accused_parts(known, loss.lost_at);
        }
    }
    current.found =
        part_findings(runs, [this](std::uint64_t part, time_point lost_at) {
            return has_run_before(part, lost_at);
        });
    findings_ = std::move(current);
    return findings_;
}

std::vector<lost_run>
poison_register::unexplained_losses(std::uint64_t fingerprint,
                                    time_point now) const
{
    const auto* known = find(fingerprint, now);
    if (known == nullptr)
        return {};
    auto losses = known->losses;
    const auto& found = findings(now);
    std::erase_if(losses,
                  [&](const lost_run& run) { return found.explain(run.loss); });
    return losses;
}

unsigned poison_register::weight_of(const std::vector<lost_run>& losses,
                                    time_point now) const
{
    const auto& rule = rule_of(suspect_kind::request);
    unsigned sum = 0;
    for (const auto& run : losses) {
        const bool is_bystander =
            run.stage == run_stage::waiting &&
            current_findings(now).begun_losses.contains(run.loss);
        sum += rule.weight(is_bystander ? run_stage::settled : run.stage);
    }
    return sum;
}

bool poison_register::is_convicted(std::uint64_t fingerprint,
                                   time_point now) const
{
    return weight_of(unexplained_losses(fingerprint, now), now) >=
           rule_of(suspect_kind::request).poison_weight;
}

bool poison_register::is_part_convicted(const suspected_work& work,
                                        time_point now) const
{
    const auto& found = findings(now);
    return found.convict(work.parts) ||
           (found.has_convicted(work.parts) && !can_test_parts(work, now));
}

poison_verdict poison_register::verdict(const suspected_work& work,
                                        time_point now) const
{
    if (requests_.empty())
        return poison_verdict::clean;
    if (is_convicted(work.request, now) || is_part_convicted(work, now))
        return poison_verdict::poison;
    const auto suspects = suspects_of(work, now);
    const bool is_suspect =
        !suspects.parts.empty() || is_request_suspected(work.request, now);
    return is_suspect ? poison_verdict::suspect : poison_verdict::clean;
}

suspected_work poison_register::suspects_of(const suspected_work& work,
                                            time_point now) const
{
    auto suspects = work;
    const auto& found = findings(now);
    std::erase_if(suspects.parts, [&](auto part) {
        const auto* against = found.find(part);
        return against == nullptr ||
               !(against->convicted || against->suspected);
    });
    return suspects;
}

std::optional<poison_grounds>
poison_register::request_grounds(std::uint64_t fingerprint,
                                 time_point now) const
{
    if (!is_convicted(fingerprint, now))
        return std::nullopt;
    const auto losses = unexplained_losses(fingerprint, now);
    const auto sum = weight_of(losses, now);
    const auto deadline = requests_.at(fingerprint).deadline;
    const auto delay = sum > rule_of(suspect_kind::request).poison_weight
                           ? second_trial_delay
                           : first_trial_delay;
    const auto trial = sum >= last_trial_weight
                           ? deadline
                           : std::min(deadline, last_loss_of(losses) + delay);
    return poison_grounds{suspect_kind::request, fingerprint,
                          static_cast<unsigned>(losses.size()), trial};
}

std::optional<poison_grounds>
poison_register::part_grounds(const suspected_work& work, time_point now) const
{
    if (!is_part_convicted(work, now))
        return std::nullopt;
    const auto& found = findings(now);
    std::optional<poison_grounds> last;
    for (const auto part : work.parts) {
        const auto* against = found.find(part);
        if (against == nullptr || !against->convicted)
            continue;
        const auto trials =
            against->rounds - rule_of(suspect_kind::prompt_part).rounds;
        auto trial = against->last_loss + mark_lifetime_;
        const bool is_proven = has_run_well(part);
        if (trials == 0)
            trial = against->last_loss +
                    (is_proven ? proven_trial_delay : first_trial_delay);
        else if (trials == 1 && against->losses < single_trial_losses)
            trial = against->last_loss +
                    (is_proven ? first_trial_delay : second_trial_delay);
        if (!last || trial > last->next_trial)
            last = poison_grounds{suspect_kind::prompt_part, part,
                                  against->losses, trial};
    }
    return last;
}

std::optional<poison_grounds>
poison_register::grounds(const suspected_work& work, time_point now) const
{
    if (requests_.empty())
        return std::nullopt;
    const auto request = request_grounds(work.request, now);
    const auto part = part_grounds(work, now);
    if (!request || !part)
        return request ? request : part;
    return request->next_trial > part->next_trial ? request : part;
}

time_point poison_register::next_trial(const suspected_work& work,
                                       time_point now) const
{
    const auto why = grounds(work, now);
    return why ? why->next_trial : time_point{};
}

std::size_t poison_register::count_poison(suspect_kind kind,
                                          time_point now) const
{
    if (kind == suspect_kind::prompt_part)
        return findings(now).convicted().size();
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(),
        [&](const auto& known) { return is_convicted(known.first, now); }));
}

} // namespace cyclamenrun
