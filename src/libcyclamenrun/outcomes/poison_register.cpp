#include "poison_register.hpp"

#include "link.pb.h"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/**
 * Losses recorded per request. Two make it a poison request, so a longer record
 * would not change the verdict.
 */
constexpr std::size_t max_recorded_losses = 4;

bool contains(const std::vector<std::uint64_t>& losses, std::uint64_t loss)
{
    return std::find(losses.begin(), losses.end(), loss) != losses.end();
}

void add_bounded(std::vector<std::uint64_t>& losses, std::uint64_t loss)
{
    if (losses.size() == max_recorded_losses)
        losses.erase(losses.begin());
    losses.push_back(loss);
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
                           time_point now)
{
    const auto known = records_.find(fingerprint);
    if (known != records_.end() &&
        (contains(known->second.active_losses, loss) ||
         contains(known->second.cleared_losses, loss)))
        return;
    add_bounded(touch(fingerprint, now).active_losses, loss);
}

void poison_register::clear(std::uint64_t fingerprint, time_point now)
{
    const auto known = records_.find(fingerprint);
    if (known == records_.end() || known->second.active_losses.empty())
        return;
    auto& changed = touch(fingerprint, now);
    for (const auto loss : changed.active_losses)
        add_bounded(changed.cleared_losses, loss);
    changed.active_losses.clear();
}

void poison_register::clear_loss(std::uint64_t loss, time_point now)
{
    for (auto& [fingerprint, known] : records_) {
        if (std::erase(known.active_losses, loss) == 0)
            continue;
        add_bounded(known.cleared_losses, loss);
        known.changed = ++version_;
        known.deadline = now + mark_lifetime_;
    }
}

void poison_register::merge(const link::PoisonMark& mark, time_point now)
{
    if (!mark.cleared()) {
        this->mark(mark.fingerprint(), mark.loss(), now);
        return;
    }
    const auto known = records_.find(mark.fingerprint());
    if (known != records_.end() &&
        contains(known->second.cleared_losses, mark.loss()))
        return;
    auto& changed = touch(mark.fingerprint(), now);
    std::erase(changed.active_losses, mark.loss());
    add_bounded(changed.cleared_losses, mark.loss());
}

poison_verdict poison_register::verdict(std::uint64_t fingerprint,
                                        time_point now) const
{
    const auto known = records_.find(fingerprint);
    if (known == records_.end() || now >= known->second.deadline)
        return poison_verdict::clean;
    switch (known->second.active_losses.size()) {
    case 0:
        return poison_verdict::clean;
    case 1:
        return poison_verdict::suspect;
    default:
        return poison_verdict::poison;
    }
}

std::vector<link::PoisonMark>
poison_register::marks_since(std::uint64_t version) const
{
    std::vector<link::PoisonMark> marks;
    for (const auto& [fingerprint, known] : records_) {
        if (known.changed <= version)
            continue;
        for (const auto loss : known.active_losses)
            marks.push_back(make_mark(fingerprint, loss, false));
        for (const auto loss : known.cleared_losses)
            marks.push_back(make_mark(fingerprint, loss, true));
    }
    return marks;
}

poison_register::record& poison_register::touch(std::uint64_t fingerprint,
                                                time_point now)
{
    if (!records_.contains(fingerprint))
        make_room(now);
    auto& touched = records_[fingerprint];
    if (now >= touched.deadline) {
        touched.active_losses.clear();
        touched.cleared_losses.clear();
    }
    touched.changed = ++version_;
    touched.deadline = now + mark_lifetime_;
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
