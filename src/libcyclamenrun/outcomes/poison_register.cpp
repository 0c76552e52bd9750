#include "poison_register.hpp"

#include "poison_marks.hpp"

#include <algorithm>
#include <iterator>
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

/**
 * Parts of which nothing is known may run with a convicted one after this time,
 * once: requests without such parts show more of the convicted one.
 */
constexpr milliseconds untried_delay{1500};

/** A solo run that has not ended by then has been given up. */
constexpr milliseconds solo_lifetime{5000};
constexpr milliseconds trial_lifetime{60'000};
/** Losses of a part after which two solo runs at once are too many. */
constexpr unsigned confirmed_claim_losses = 3;
/**
 * A loss lets each process tell when its parts last ran well, if that is so
 * much later than what others have told.
 */
constexpr milliseconds clearance_step{250};

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

/** Adds parts to a set that is bounded and in ascending order. */
void add_parts(std::vector<std::uint64_t>& to,
               const std::vector<std::uint64_t>& added)
{
    auto all = to;
    all.insert(all.end(), added.begin(), added.end());
    to = suspected_work(0, std::move(all)).parts;
}

} // namespace

poison_register::poison_register(std::size_t capacity, duration mark_lifetime)
    : capacity_(capacity), mark_lifetime_(mark_lifetime)
{
}

// Evidence.

void poison_register::record_loss(const lost_run& run, time_point now)
{
    auto accused = run;
    if (run.stage == run_stage::settled)
        accused.work.parts.clear();
    add_loss(accused, now);
    clear_parts_run_here(accused.work, now);
}

void poison_register::add_loss(const lost_run& run, time_point now)
{
    const auto fingerprint = run.work.request;
    const auto known = requests_.find(fingerprint);
    bool is_marked = false;
    if (known != requests_.end()) {
        const auto& record = known->second;
        is_marked = std::any_of(
            record.losses.begin(), record.losses.end(),
            [&](const lost_run& each) { return each.loss == run.loss; });
        const bool names_known_parts =
            std::includes(record.parts.begin(), record.parts.end(),
                          run.work.parts.begin(), run.work.parts.end());
        if (contains(record.cleared_losses, run.loss) ||
            (is_marked && names_known_parts))
            return;
    }
    auto& marked = touch(fingerprint, now, run.lost_at);
    add_parts(marked.parts, run.work.parts);
    if (is_marked)
        return;
    auto added = run;
    added.work.parts.clear();
    add_bounded(marked.losses, added);
}

void poison_register::record_run(const suspected_work& work,
                                 run_progress progress, time_point began_at,
                                 time_point now)
{
    if (progress >= rule_of(suspect_kind::request).cleared_by)
        clear_request(work.request, now);
    if (progress < rule_of(suspect_kind::prompt_part).cleared_by)
        return;
    for (const auto part : work.parts) {
        recent_runs_.record(part, began_at, now);
        if (findings(now).find(part) != nullptr)
            clear_part_run_here(part, began_at, now);
    }
}

void poison_register::clear_request(std::uint64_t fingerprint, time_point now)
{
    const auto known = requests_.find(fingerprint);
    if (known == requests_.end() || known->second.losses.empty())
        return;
    auto& changed = touch(fingerprint, now, now);
    for (const auto& run : changed.losses)
        add_bounded(changed.cleared_losses, run.loss);
    changed.losses.clear();
}

void poison_register::clear_part_run_here(std::uint64_t part, time_point ran_at,
                                          time_point now)
{
    const auto known = cleared_parts_.find(part);
    const bool is_known = known != cleared_parts_.end();
    if (is_known && ran_at <= known->second.told.ran_at)
        return;
    const auto number = is_known ? known->second.told.number + 1 : 1;
    const auto run =
        static_cast<std::uint64_t>(ran_at.time_since_epoch().count());
    clear_part({part, number, run, ran_at}, now);
}

void poison_register::clear_part(const part_clearance& clearance,
                                 time_point now)
{
    auto& cleared = cleared_parts_[clearance.part];
    if (!(cleared.told < clearance))
        return;
    cleared = {clearance, change_evidence(), now + mark_lifetime_};
    if (cleared_parts_.size() <= capacity_)
        return;
    cleared_parts_.erase(
        std::min_element(cleared_parts_.begin(), cleared_parts_.end(),
                         [](const auto& a, const auto& b) {
                             return a.second.deadline < b.second.deadline;
                         }));
}

void poison_register::clear_loss(std::uint64_t loss, time_point now)
{
    for (auto& [fingerprint, known] : requests_) {
        if (std::erase_if(known.losses, [loss](const lost_run& run) {
                return run.loss == loss;
            }) == 0)
            continue;
        add_bounded(known.cleared_losses, loss);
        known.changed = change_evidence();
        known.deadline = now + mark_lifetime_;
    }
}

std::uint64_t poison_register::change_evidence()
{
    ++evidence_version_;
    return ++version_;
}

bool poison_register::is_cleared(std::uint64_t part, time_point lost_at) const
{
    const auto cleared = cleared_parts_.find(part);
    return cleared != cleared_parts_.end() &&
           lost_at < cleared->second.told.ran_at;
}

bool poison_register::has_run_well(std::uint64_t part) const
{
    return recent_runs_.contains(part) || cleared_parts_.contains(part);
}

bool poison_register::has_run_before(std::uint64_t part,
                                     time_point lost_at) const
{
    const auto cleared = cleared_parts_.find(part);
    return cleared != cleared_parts_.end() &&
           lost_at < cleared->second.told.ran_at + clearance_time;
}

std::vector<std::uint64_t>
poison_register::accused_parts(const request_record& known,
                               time_point lost_at) const
{
    auto parts = known.parts;
    std::erase_if(parts, [&](auto part) { return is_cleared(part, lost_at); });
    return parts;
}

bool poison_register::is_untried(std::uint64_t part, time_point now) const
{
    return !has_run_well(part) && findings(now).find(part) == nullptr;
}

std::vector<std::uint64_t>
poison_register::parts_to_test(const suspected_work& work, time_point now) const
{
    if (!findings(now).has_convicted(work.parts))
        return {};
    auto parts = suspects_of(work, now).parts;
    for (const auto part : work.parts)
        if (is_untried(part, now))
            parts.push_back(part);
    return parts;
}

bool poison_register::has_untried_part(const suspected_work& work,
                                       time_point now) const
{
    return std::any_of(work.parts.begin(), work.parts.end(),
                       [&](auto part) { return is_untried(part, now); });
}

bool poison_register::can_test_parts(const suspected_work& work,
                                     time_point now) const
{
    if (!has_untried_part(work, now))
        return true;
    // Parts that are new with each request would be tried for ever.
    const auto& found = findings(now);
    return std::none_of(work.parts.begin(), work.parts.end(), [&](auto part) {
        const auto* against = found.find(part);
        return against != nullptr && against->convicted &&
               against->rounds > rule_of(suspect_kind::prompt_part).rounds;
    });
}

time_point poison_register::test_time(const suspected_work& work,
                                      time_point now) const
{
    time_point last_loss{};
    if (!has_untried_part(work, now))
        return last_loss;
    const auto& found = findings(now);
    for (const auto part : work.parts) {
        const auto* against = found.find(part);
        if (against != nullptr && against->convicted)
            last_loss = std::max(last_loss, against->last_loss + untried_delay);
    }
    return last_loss;
}

// Solo runs.

void poison_register::claim_solo(const suspected_work& work, std::uint64_t id,
                                 time_point now)
{
    const bool is_trial = verdict(work, now) == poison_verdict::poison;
    const auto lifetime = is_trial ? trial_lifetime : solo_lifetime;
    claims_.add(
        {id, suspects_of(work, now), now, now + lifetime, false, ++version_},
        now);
}

void poison_register::release_solo(std::uint64_t id)
{
    if (claims_.release(id, version_ + 1))
        ++version_;
}

bool poison_register::is_solo_beaten(std::uint64_t id, time_point now) const
{
    return claims_.is_beaten(id, now);
}

bool poison_register::is_solo_claimed(const suspected_work& work,
                                      time_point now) const
{
    return claims_.is_claimed(suspects_of(work, now), now);
}

bool poison_register::needs_confirmed_claim(const suspected_work& work,
                                            time_point now) const
{
    if (verdict(work, now) == poison_verdict::poison)
        return true;
    const auto& found = findings(now);
    return std::any_of(work.parts.begin(), work.parts.end(), [&](auto part) {
        const auto* against = found.find(part);
        return against != nullptr &&
               (against->convicted ||
                (against->suspected &&
                 against->losses >= confirmed_claim_losses));
    });
}

// Exchange with other processes.

void poison_register::merge(const link::PoisonMark& mark, time_point now)
{
    if (mark.part_cleared()) {
        merge_clearance(mark, now);
        return;
    }
    if (mark.trial()) {
        merge_claim(mark, now);
        return;
    }
    const auto at = time_of(mark, now);
    if (at + mark_lifetime_ <= now)
        return;
    if (!mark.cleared()) {
        const auto run = read_loss_mark(mark, now);
        add_loss(run, now);
        clear_parts_run_here(run.work, now);
        return;
    }
    const auto known = requests_.find(mark.fingerprint());
    if (known != requests_.end() &&
        contains(known->second.cleared_losses, mark.loss()))
        return;
    auto& changed = touch(mark.fingerprint(), now, at);
    std::erase_if(changed.losses, [&](const lost_run& active) {
        return active.loss == mark.loss();
    });
    add_bounded(changed.cleared_losses, mark.loss());
}

void poison_register::clear_parts_run_here(const suspected_work& work,
                                           time_point now)
{
    for (const auto part : work.parts) {
        const auto ran_at = recent_runs_.last(part, now);
        const auto known = cleared_parts_.find(part);
        const bool is_news =
            ran_at && (known == cleared_parts_.end() ||
                       *ran_at >= known->second.told.ran_at + clearance_step);
        if (is_news)
            clear_part_run_here(part, *ran_at, now);
    }
}

std::size_t poison_register::count_recent_parts(const suspected_work& work,
                                                time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(work.parts.begin(), work.parts.end(), [&](auto part) {
            return recent_runs_.last(part, now).has_value();
        }));
}

void poison_register::merge_claim(const link::PoisonMark& mark, time_point now)
{
    auto claim = read_claim_mark(mark, now);
    claim.changed = version_ + 1;
    if (claims_.add(claim, now))
        ++version_;
}

void poison_register::merge_clearance(const link::PoisonMark& mark,
                                      time_point now)
{
    const auto clearance = read_clearance_mark(mark, now);
    if (clearance.ran_at + mark_lifetime_ > now)
        clear_part(clearance, now);
}

std::vector<link::PoisonMark>
poison_register::marks_of(std::uint64_t fingerprint,
                          const request_record& known, time_point now) const
{
    std::vector<link::PoisonMark> marks;
    // All losses of a request have the same parts.
    auto parts = known.losses.empty()
                     ? std::vector<std::uint64_t>()
                     : accused_parts(known, last_loss_of(known.losses));
    for (auto run : known.losses) {
        run.work.parts = std::exchange(parts, {});
        marks.push_back(make_loss_mark(run, now));
    }
    for (const auto loss : known.cleared_losses)
        marks.push_back(make_cleared_mark(
            fingerprint, loss, known.deadline - mark_lifetime_, now));
    return marks;
}

std::vector<poison_register::change>
poison_register::changes_since(std::uint64_t version, time_point now) const
{
    std::vector<change> changes;
    for (const auto& [fingerprint, known] : requests_)
        if (known.changed > version && now < known.deadline)
            changes.push_back(
                {known.changed, change_kind::request, fingerprint});
    for (const auto& [part, cleared] : cleared_parts_)
        if (cleared.changed > version && now < cleared.deadline)
            changes.push_back({cleared.changed, change_kind::clearance, part});
    for (const auto& [id, claim] : claims_.all())
        if (claim.changed > version && now < claim.expires_at)
            changes.push_back({claim.changed, change_kind::claim, id});
    std::sort(
        changes.begin(), changes.end(),
        [](const change& a, const change& b) { return a.version < b.version; });
    return changes;
}

std::vector<link::PoisonMark> poison_register::marks_of(const change& told,
                                                        time_point now) const
{
    switch (told.kind) {
    case change_kind::request:
        return marks_of(told.key, requests_.at(told.key), now);
    case change_kind::clearance:
        return {make_clearance_mark(cleared_parts_.at(told.key).told, now)};
    case change_kind::claim:
        return {make_claim_mark(claims_.all().at(told.key), now)};
    }
    return {};
}

std::vector<link::PoisonMark>
poison_register::marks_since(std::uint64_t version, time_point now) const
{
    constexpr auto all = std::numeric_limits<std::size_t>::max();
    return oldest_marks_since(version, all, now).marks;
}

poison_register::mark_batch
poison_register::oldest_marks_since(std::uint64_t version,
                                    std::size_t max_bytes, time_point now) const
{
    mark_batch batch;
    batch.version = version_;
    std::size_t bytes = 0;
    for (const auto& each : changes_since(version, now)) {
        auto marks = marks_of(each, now);
        for (const auto& mark : marks)
            bytes += size_in_message(mark);
        if (!batch.marks.empty() && bytes > max_bytes) {
            batch.version = each.version - 1;
            break;
        }
        std::move(marks.begin(), marks.end(), std::back_inserter(batch.marks));
    }
    return batch;
}

poison_register::request_record&
poison_register::touch(std::uint64_t fingerprint, time_point now,
                       time_point changed_at)
{
    if (!requests_.contains(fingerprint))
        make_room(now);
    auto& touched = requests_[fingerprint];
    if (now >= touched.deadline) {
        touched.losses.clear();
        touched.cleared_losses.clear();
        touched.parts.clear();
    }
    touched.changed = change_evidence();
    touched.deadline = std::max(touched.deadline, changed_at + mark_lifetime_);
    return touched;
}

void poison_register::make_room(time_point now)
{
    if (requests_.size() < capacity_)
        return;
    std::erase_if(requests_, [now](const auto& known) {
        return now >= known.second.deadline;
    });
    if (requests_.size() < capacity_)
        return;
    // The record that expires first is the least recently changed one.
    requests_.erase(std::min_element(
        requests_.begin(), requests_.end(), [](const auto& a, const auto& b) {
            return a.second.deadline < b.second.deadline;
        }));
}

} // namespace cyclamenrun
