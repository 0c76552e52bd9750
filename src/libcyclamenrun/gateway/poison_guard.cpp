#include "poison_guard.hpp"

#include "digest.hpp"
#include "peers.pb.h"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_records = 4096;
/** As for the marks of entries and agents. */
constexpr milliseconds mark_lifetime{3'600'000};
/** Bytes of marks in one datagram. */
constexpr std::size_t max_mark_bytes = 700;
constexpr std::size_t max_settling = 1024;

/** Bounds the table if ids keep being used again. */
constexpr std::size_t max_replacements = 4096;

} // namespace

poison_guard::poison_guard(std::mt19937_64& random)
    : marks_(max_records, mark_lifetime), random_(random)
{
}

poison_admission poison_guard::admit(const suspected_work& work,
                                     solo_run& claim, time_point now)
{
    auto admission = poison_admission::allowed;
    change({}, now, [&] {
        admission =
            admit_send(marks_, work, claim, {random_() | 1, news_time_}, now);
    });
    return admission;
}

void poison_guard::end_solo(solo_run& claim)
{
    const auto version = marks_.version();
    cyclamenrun::end_solo(marks_, claim);
    if (marks_.version() != version && on_.changed)
        on_.changed();
}

bool poison_guard::is_poison(const suspected_work& work, time_point now) const
{
    return marks_.verdict(work, now) == poison_verdict::poison;
}

template <typename Change>
void poison_guard::apply(const std::vector<std::uint64_t>& requests,
                         time_point now, Change change)
{
    const auto version = marks_.version();
    std::vector<std::uint64_t> not_convicted;
    for (const auto request : requests)
        if (!is_poison(suspected_work(request), now))
            not_convicted.push_back(request);
    change();
    if (marks_.version() != version)
        report_convictions(not_convicted, now);
}

template <typename Change>
void poison_guard::change(const std::vector<std::uint64_t>& requests,
                          time_point now, Change change_marks)
{
    const auto version = marks_.version();
    apply(requests, now, change_marks);
    if (marks_.version() == version)
        return;
    if (on_.changed)
        on_.changed();
    const auto recorded = on_.recorded ? marks_.changed_since(version, now)
                                       : std::vector<mark_key>();
    if (!recorded.empty())
        on_.recorded(recorded);
}

void poison_guard::report_convictions(
    const std::vector<std::uint64_t>& requests, time_point now)
{
    const auto before =
        std::exchange(convicted_parts_, marks_.convicted_parts(now));
    if (!on_.convicted)
        return;
    for (const auto part : convicted_parts_)
        if (!std::binary_search(before.begin(), before.end(), part))
            on_.convicted(suspect_kind::prompt_part, part);
    for (const auto request : requests)
        if (is_poison(suspected_work(request), now))
            on_.convicted(suspect_kind::request, request);
}

/**
 * All gateways report one crash as the same loss: an upstream that starts again
 * has a new id or another start, or a replacement is recorded.
 */
std::uint64_t poison_guard::loss_of(const std::string& upstream) const
{
    const auto start = starts_.find(upstream);
    if (start != starts_.end())
        return hash64(upstream, static_cast<std::uint64_t>(start->second));
    const auto found = replacements_.find(upstream);
    return hash64(upstream, found != replacements_.end() ? found->second : 0);
}

void poison_guard::record_replacement(const std::string& upstream)
{
    if (replacements_.size() >= max_replacements &&
        !replacements_.contains(upstream))
        replacements_.erase(replacements_.begin());
    ++replacements_[upstream];
}

void poison_guard::record_start(const std::string& upstream,
                                std::int64_t started_ms)
{
    if (started_ms == 0)
        return;
    if (starts_.size() >= max_replacements && !starts_.contains(upstream))
        starts_.erase(starts_.begin());
    starts_[upstream] = started_ms;
}

void poison_guard::record_crash(const std::string& upstream, lost_run run,
                                time_point now)
{
    run.loss = loss_of(upstream);
    change({run.work.request}, now, [&] {
        marks_.record_loss(run, now);
        accuse_settling(run.loss, now);
    });
}

void poison_guard::accuse_settling(std::uint64_t loss, time_point now)
{
    std::erase_if(settling_, [&](const settling_run& each) {
        if (each.run.loss != loss)
            return false;
        marks_.record_loss(each.run, now);
        return true;
    });
}

void poison_guard::record_settled(const suspected_work& work,
                                  time_point first_part_at, time_point now)
{
    change({}, now, [&] {
        marks_.record_run(work, run_progress::settled, first_part_at, now);
    });
}

void poison_guard::record_success(const std::string& upstream,
                                  const suspected_work& work,
                                  time_point first_part_at, time_point now)
{
    const auto settles_at = first_part_at + settling_time;
    const bool settled = work.parts.empty() || now >= settles_at ||
                         settling_.size() >= max_settling;
    change({}, now, [&] {
        marks_.record_run(settled ? work : suspected_work(work.request),
                          run_progress::whole, first_part_at, now);
    });
    if (!settled)
        settling_.push_back({{work, loss_of(upstream), run_stage::beginning,
                              first_part_at, now},
                             settles_at});
}

void poison_guard::tick(time_point now)
{
    std::vector<settling_run> settled;
    std::erase_if(settling_, [&](const settling_run& each) {
        const bool is_due = now >= each.settles_at;
        if (is_due)
            settled.push_back(each);
        return is_due;
    });
    for (const auto& each : settled)
        record_settled(each.run.work, each.run.sent_at, now);
}

peer_table poison_guard::table()
{
    peer_table shared;
    shared.version = [this] { return marks_.version(); };
    shared.write = [this](std::uint64_t after, v1::PeerMessage& message,
                          time_point now) {
        auto batch = marks_.oldest_marks_since(after, max_mark_bytes, now);
        for (auto& mark : batch.marks)
            *message.add_marks() = std::move(mark);
        return batch.version;
    };
    shared.merge = [this](const v1::PeerMessage& message, time_point now) {
        merge(message, now);
    };
    return shared;
}

std::vector<link::PoisonMark> poison_guard::lasting_marks(const mark_key& key,
                                                          time_point now) const
{
    return marks_.lasting_marks(key, now);
}

void poison_guard::merge(const v1::PeerMessage& message, time_point now)
{
    std::vector<std::uint64_t> requests;
    for (const auto& mark : message.marks())
        requests.push_back(mark.fingerprint());
    apply(requests, now, [&] {
        for (const auto& mark : message.marks()) {
            marks_.merge(mark, now);
            if (!mark.trial() && !mark.part_cleared())
                accuse_settling(mark.loss(), now);
        }
    });
}

} // namespace cyclamenrun
