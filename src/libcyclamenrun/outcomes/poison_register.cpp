#include "poison_register.hpp"

#include "link.pb.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Losses recorded per request. Two make it a poison request, so a longer record
 * would not change the verdict.
 */
constexpr std::size_t max_recorded_losses = 4;

/** Sum of the weights of its losses at which a request is poison. */
constexpr unsigned poison_weight = 4;
/** Sum from which there are no more trials. */
constexpr unsigned last_trial_weight = 7;
constexpr milliseconds first_trial_delay{60000};
constexpr milliseconds second_trial_delay{600000};
/** A trial that has not ended by then was never run. */
constexpr milliseconds trial_timeout{60000};

bool contains(const std::vector<std::uint64_t>& losses, std::uint64_t loss)
{
    return std::find(losses.begin(), losses.end(), loss) != losses.end();
}

template <typename Loss>
void add_bounded(std::vector<Loss>& losses, const Loss& loss)
{
    if (losses.size() == max_recorded_losses)
        losses.erase(losses.begin());
    losses.push_back(loss);
}

std::uint32_t age_ms(time_point at, time_point now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(age, 0, std::numeric_limits<int>::max()));
}

link::PoisonMark make_mark(std::uint64_t fingerprint, std::uint64_t loss,
                           bool cleared)
{
    link::PoisonMark mark;
    mark.set_fingerprint(fingerprint);
    mark.set_loss(loss);
    mark.set_cleared(cleared);
    return mark;
}

} // namespace

poison_register::poison_register(std::size_t capacity, duration mark_lifetime)
    : capacity_(capacity), mark_lifetime_(mark_lifetime)
{
}

void poison_register::mark(std::uint64_t fingerprint, std::uint64_t loss,
                           time_point now, mark_strength strength)
{
    add_loss(fingerprint, {loss, strength}, now, now);
}

void poison_register::add_loss(std::uint64_t fingerprint,
                               const loss_mark& added, time_point now,
                               time_point lost_at)
{
    const auto known = records_.find(fingerprint);
    if (known != records_.end()) {
        const auto& active = known->second.active_losses;
        const bool is_marked = std::any_of(
            active.begin(), active.end(),
            [&](const loss_mark& mark) { return mark.loss == added.loss; });
        if (is_marked || contains(known->second.cleared_losses, added.loss))
            return;
    }
    auto& marked = touch(fingerprint, now, lost_at);
    add_bounded(marked.active_losses, added);
    marked.lost_at = std::max(marked.lost_at, lost_at);
}

void poison_register::clear(std::uint64_t fingerprint, time_point now)
{
    const auto known = records_.find(fingerprint);
    if (known == records_.end() || known->second.active_losses.empty())
        return;
    auto& changed = touch(fingerprint, now, now);
    for (const auto& mark : changed.active_losses)
        add_bounded(changed.cleared_losses, mark.loss);
    changed.active_losses.clear();
}

void poison_register::clear_loss(std::uint64_t loss, time_point now)
{
    for (auto& [fingerprint, known] : records_) {
        if (std::erase_if(known.active_losses, [loss](const loss_mark& mark) {
                return mark.loss == loss;
            }) == 0)
            continue;
        add_bounded(known.cleared_losses, loss);
        known.changed = ++version_;
        known.deadline = now + mark_lifetime_;
    }
}

void poison_register::merge(const link::PoisonMark& mark, time_point now)
{
    const auto at = now - milliseconds(mark.age_ms());
    if (mark.trial()) {
        merge_trial(mark, now, at);
        return;
    }
    if (at + mark_lifetime_ <= now)
        return;
    if (!mark.cleared()) {
        add_loss(mark.fingerprint(),
                 {mark.loss(),
                  mark.weak() ? mark_strength::weak : mark_strength::strong},
                 now, at);
        return;
    }
    const auto known = records_.find(mark.fingerprint());
    if (known != records_.end() &&
        contains(known->second.cleared_losses, mark.loss()))
        return;
    auto& changed = touch(mark.fingerprint(), now, at);
    std::erase_if(changed.active_losses, [&](const loss_mark& active) {
        return active.loss == mark.loss();
    });
    add_bounded(changed.cleared_losses, mark.loss());
}

void poison_register::merge_trial(const link::PoisonMark& mark, time_point now,
                                  time_point trial_at)
{
    const auto known = records_.find(mark.fingerprint());
    if (known == records_.end() || known->second.trial == mark.loss() ||
        known->second.trial_at >= trial_at || now >= known->second.deadline)
        return;
    known->second.trial = mark.loss();
    known->second.trial_at = trial_at;
    known->second.changed = ++version_;
}

unsigned poison_register::weight(const record& marked)
{
    unsigned sum = 0;
    for (const auto& mark : marked.active_losses)
        sum += mark.strength == mark_strength::strong ? 2 : 1;
    return sum;
}

poison_verdict poison_register::verdict(std::uint64_t fingerprint,
                                        time_point now) const
{
    const auto known = records_.find(fingerprint);
    if (known == records_.end() || now >= known->second.deadline ||
        known->second.active_losses.empty())
        return poison_verdict::clean;
    return weight(known->second) < poison_weight ? poison_verdict::suspect
                                                 : poison_verdict::poison;
}

time_point poison_register::next_trial(std::uint64_t fingerprint) const
{
    const auto known = records_.find(fingerprint);
    if (known == records_.end())
        return {};
    const auto& marked = known->second;
    const auto sum = weight(marked);
    if (sum >= last_trial_weight)
        return marked.deadline;
    const auto after_loss =
        marked.lost_at +
        (sum > poison_weight ? second_trial_delay : first_trial_delay);
    const auto after_trial =
        marked.trial == 0 ? after_loss : marked.trial_at + trial_timeout;
    return std::min(marked.deadline, std::max(after_loss, after_trial));
}

bool poison_register::begin_trial(std::uint64_t fingerprint,
                                  std::uint64_t trial, time_point now)
{
    if (verdict(fingerprint, now) != poison_verdict::poison ||
        now < next_trial(fingerprint))
        return false;
    auto& tried = records_.at(fingerprint);
    tried.trial = trial;
    tried.trial_at = now;
    tried.changed = ++version_;
    return true;
}

std::size_t poison_register::count_poison(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const auto& known) {
            return verdict(known.first, now) == poison_verdict::poison;
        }));
}

void poison_register::append_marks(std::uint64_t fingerprint,
                                   const record& known, time_point now,
                                   std::vector<link::PoisonMark>& marks) const
{
    for (const auto& active : known.active_losses) {
        auto mark = make_mark(fingerprint, active.loss, false);
        mark.set_weak(active.strength == mark_strength::weak);
        mark.set_age_ms(age_ms(known.lost_at, now));
        marks.push_back(std::move(mark));
    }
    for (const auto loss : known.cleared_losses) {
        auto mark = make_mark(fingerprint, loss, true);
        mark.set_age_ms(age_ms(known.deadline - mark_lifetime_, now));
        marks.push_back(std::move(mark));
    }
    if (known.trial == 0)
        return;
    auto mark = make_mark(fingerprint, known.trial, false);
    mark.set_trial(true);
    mark.set_age_ms(age_ms(known.trial_at, now));
    marks.push_back(std::move(mark));
}

std::vector<link::PoisonMark>
poison_register::marks_since(std::uint64_t version) const
{
    std::vector<link::PoisonMark> marks;
    for (const auto& [fingerprint, known] : records_) {
        if (known.changed <= version)
            continue;
        for (const auto& active : known.active_losses)
            marks.push_back(make_mark(fingerprint, active.loss, false));
        for (const auto loss : known.cleared_losses)
            marks.push_back(make_mark(fingerprint, loss, true));
    }
    return marks;
}

poison_register::mark_batch
poison_register::oldest_marks_since(std::uint64_t version,
                                    std::size_t max_marks, time_point now) const
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> changed;
    for (const auto& [fingerprint, known] : records_)
        if (known.changed > version)
            changed.emplace_back(known.changed, fingerprint);
    std::sort(changed.begin(), changed.end());
    mark_batch batch;
    batch.version = version_;
    for (const auto& [change, fingerprint] : changed) {
        if (!batch.marks.empty() && batch.marks.size() >= max_marks) {
            batch.version = change - 1;
            break;
        }
        const auto& known = records_.at(fingerprint);
        if (now < known.deadline)
            append_marks(fingerprint, known, now, batch.marks);
    }
    return batch;
}

poison_register::record& poison_register::touch(std::uint64_t fingerprint,
                                                time_point now,
                                                time_point changed_at)
{
    if (!records_.contains(fingerprint))
        make_room(now);
    auto& touched = records_[fingerprint];
    if (now >= touched.deadline) {
        touched.active_losses.clear();
        touched.cleared_losses.clear();
        touched.trial = 0;
    }
    touched.changed = ++version_;
    touched.deadline = std::max(touched.deadline, changed_at + mark_lifetime_);
    return touched;
}

void poison_register::make_room(time_point now)
{
    if (records_.size() < capacity_)
        return;
    std::erase_if(records_, [now](const auto& known) {
        return now >= known.second.deadline;
    });
    if (records_.size() < capacity_)
        return;
    // The record that expires first is the least recently changed one.
    records_.erase(std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return a.second.deadline < b.second.deadline;
        }));
}

} // namespace cyclamenrun
