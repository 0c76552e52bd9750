#include "poison_fleet.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun::testing_support
{

namespace
{

constexpr milliseconds step{10};
/** An upstream that has crashed is back after this time. */
constexpr milliseconds restart_time{3000};
/** A part crashes its upstream up to so long after that begins to write. */
constexpr milliseconds max_crash_time{110};
/** Time in which a gateway finds out that an upstream has crashed. */
constexpr milliseconds max_detection_time{5};

} // namespace

poison_fleet::poison_fleet(const shape& of, std::uint64_t seed)
    : peer_network(of.gateways, seed), shape_(of), upstreams_(of.upstreams),
      gateways_(of.gateways)
{
    for (std::size_t i = 0; i < of.shared_parts; ++i)
        sound_.push_back(prompt_part_fingerprint("s" + std::to_string(i)));
    for (std::size_t i = 0; i < of.deadly_parts; ++i)
        deadly_.push_back({prompt_part_fingerprint("d" + std::to_string(i)), 0,
                           std::nullopt, 0});
    for (auto& each : upstreams_)
        each.id = "u" + std::to_string(++last_upstream_);
    loss = 0.02;
    run_for(milliseconds(5000));
    run(milliseconds(static_cast<int>(of.begun_before * 1000)),
        static_cast<double>(of.upstreams), 0);
    take_counts();
}

// Requests.

void poison_fleet::start_request(std::optional<std::size_t> deadly)
{
    auto started = std::make_shared<request>();
    started->gateway = pick(nodes.size());
    if (!runs(started->gateway))
        return;
    started->incarnation = gateways_[started->gateway].incarnation;
    std::vector<std::uint64_t> parts;
    for (std::size_t i = 0; i < shape_.other_parts; ++i)
        parts.push_back(sound_[pick(sound_.size())]);
    if (deadly)
        parts.push_back(deadly_[*deadly].fingerprint);
    started->work = suspected_work(++last_request_, std::move(parts));
    if (!find_deadly(started->work))
        ++counts_.sent;
    if (!dispatch(started))
        waiting_.push_back(started);
}

bool poison_fleet::is_current(const request& known) const
{
    return gateways_[known.gateway].incarnation == known.incarnation;
}

bool poison_fleet::dispatch(const std::shared_ptr<request>& sent)
{
    auto& guard = guard_of(sent->gateway);
    const auto admission = guard.admit(sent->work, sent->claim, now);
    if (admission == poison_admission::wait)
        return false;
    if (may_run(admission))
        send(sent, admission != poison_admission::allowed);
    return true;
}

poison_fleet::upstream* poison_fleet::choose(bool solo)
{
    std::vector<upstream*> up;
    for (auto& each : upstreams_)
        if (now >= each.up_at)
            up.push_back(&each);
    if (up.empty())
        return nullptr;
    if (!solo)
        return up[pick(up.size())];
    return *std::min_element(up.begin(), up.end(), [](auto* a, auto* b) {
        return a->runs.size() < b->runs.size();
    });
}

std::optional<std::size_t>
poison_fleet::find_deadly(const suspected_work& work) const
{
    for (std::size_t i = 0; i < deadly_.size(); ++i)
        if (std::binary_search(work.parts.begin(), work.parts.end(),
                               deadly_[i].fingerprint))
            return i;
    return std::nullopt;
}

void poison_fleet::make_deadly(run_state& run)
{
    run.crashes_at = run.begins_at + time_up_to(max_crash_time);
    run.ends_at = time_point::max();
}

void poison_fleet::turn_deadly(std::size_t i)
{
    const auto part = sound_.at(i);
    sound_.erase(sound_.begin() + static_cast<std::ptrdiff_t>(i));
    std::erase_if(refused_since_, [part](const auto& each) {
        return each.first.second == part;
    });
    deadly_.push_back({part, 0, std::nullopt, 0});
    for (auto& each : upstreams_) {
        for (auto& run : each.runs) {
            if (run.begins_at <= now || run.deadly)
                continue;
            run.deadly = find_deadly(run.of->work);
            if (run.deadly)
                make_deadly(run);
        }
    }
}

void poison_fleet::send(const std::shared_ptr<request>& sent, bool solo)
{
    auto* to = choose(solo);
    if (to == nullptr) {
        guard_of(sent->gateway).end_solo(sent->claim);
        return;
    }
    ++sent->attempts;
    run_state run;
    run.of = sent;
    run.sent_at = now;
    run.begins_at = now + time_up_to(shape_.max_prefill);
    run.ends_at = run.begins_at + time_up_to(shape_.max_writing);
    run.crashes_at = time_point::max();
    run.deadly = find_deadly(sent->work);
    if (run.deadly)
        make_deadly(run);
    to->runs.push_back(run);
    if (!run.deadly)
        return;
    auto& part = deadly_[*run.deadly];
    if (part.fifth_crash && now > *part.fifth_crash + contact_time &&
        in_touch(sent->gateway))
        ++part.late_sends;
}

// Upstreams.

void poison_fleet::lose(upstream& lost, bool marks)
{
    for (auto& run : lost.runs) {
        loss_report report{run.of,
                           marks ? lost.id : std::string(),
                           {accused_work(run.of->work, run.of->claim), 0,
                            run_stage::waiting, run.sent_at, now},
                           now + time_up_to(max_detection_time)};
        if (run.settled)
            report.run.stage = run_stage::settled;
        else if (now >= run.begins_at)
            report.run.stage = run_stage::beginning;
        reports_.push_back(std::move(report));
    }
    lost.runs.clear();
    lost.id = "u" + std::to_string(++last_upstream_);
    lost.up_at = now + restart_time;
}

void poison_fleet::report_losses()
{
    const auto due = std::stable_partition(
        reports_.begin(), reports_.end(), [this](const loss_report& each) {
            return each.known_at > now || !runs(each.of->gateway);
        });
    const std::vector<loss_report> known(due, reports_.end());
    reports_.erase(due, reports_.end());
    for (const auto& each : known) {
        const auto& of = each.of;
        if (!is_current(*of))
            continue;
        auto& guard = guard_of(of->gateway);
        if (!each.upstream.empty())
            guard.record_crash(each.upstream, each.run, now);
        guard.end_solo(of->claim);
        // Every second request may run again.
        if (of->attempts < 2 && of->work.request % 2 == 0 && !dispatch(of))
            waiting_.push_back(of);
    }
}

void poison_fleet::advance_upstreams()
{
    for (auto& each : upstreams_) {
        std::set<std::size_t> culprits;
        for (const auto& run : each.runs)
            if (now >= run.crashes_at)
                culprits.insert(*run.deadly);
        for (const auto culprit : culprits) {
            auto& part = deadly_[culprit];
            if (++part.crashes == 5)
                part.fifth_crash = now;
        }
        if (!culprits.empty())
            lose(each, true);
        std::erase_if(each.runs, [&](run_state& run) {
            const bool current = is_current(*run.of) && runs(run.of->gateway);
            if (current && !run.settled &&
                now >= run.begins_at + settling_time) {
                run.settled = true;
                auto& guard = guard_of(run.of->gateway);
                guard.record_settled(run.of->work, run.begins_at, now);
                guard.end_solo(run.of->claim);
                counts_.begun += run.of->attempts == 1 ? 1 : 0;
            }
            const bool ended = now >= run.ends_at;
            if (ended && current) {
                auto& guard = guard_of(run.of->gateway);
                guard.record_success(each.id, run.of->work, run.begins_at, now);
                guard.end_solo(run.of->claim);
                counts_.begun += !run.settled && run.of->attempts == 1 ? 1 : 0;
            }
            return ended || !is_current(*run.of);
        });
    }
}

void poison_fleet::crash_upstreams(double share)
{
    for (auto& each : upstreams_)
        if (chance() < share)
            lose(each, true);
}

void poison_fleet::reclaim_upstreams(double share)
{
    for (auto& each : upstreams_)
        if (chance() < share)
            lose(each, false);
}

// Gateways.

void poison_fleet::restart_gateway(std::size_t i)
{
    start(i);
    ++gateways_[i].incarnation;
    gateways_[i].disturbed_at = now;
    std::erase_if(waiting_,
                  [&](const auto& each) { return each->gateway == i; });
}

void poison_fleet::add_gateway()
{
    (void)add();
    gateways_.emplace_back();
    gateways_.back().disturbed_at = now;
}

void poison_fleet::freeze(std::size_t i, milliseconds time)
{
    nodes[i].frozen = true;
    gateways_[i].frozen_until = now + time;
}

void poison_fleet::cut()
{
    is_cut_ = true;
    connected = [](std::size_t from, std::size_t to) {
        return from % 2 == to % 2;
    };
}

void poison_fleet::heal()
{
    is_cut_ = false;
    connected = [](std::size_t, std::size_t) { return true; };
    for (std::size_t i = 0; i < gateways_.size(); ++i)
        gateways_[i].disturbed_at = now;
}

bool poison_fleet::in_touch(std::size_t gateway) const
{
    const auto& state = gateways_[gateway];
    // While the fleet is in halves, the larger one counts as reachable.
    return runs(gateway) && (!is_cut_ || gateway % 2 == 0) &&
           now >= state.disturbed_at + contact_time;
}

void poison_fleet::advance_gateways()
{
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        auto& state = gateways_[i];
        if (nodes[i].frozen && now >= state.frozen_until) {
            nodes[i].frozen = false;
            state.disturbed_at = now;
        }
        if (runs(i))
            guard_of(i).tick(now);
    }
    const auto asked = std::exchange(waiting_, {});
    for (const auto& each : asked)
        if (!runs(each->gateway) || !dispatch(each))
            waiting_.push_back(each);
}

void poison_fleet::record_refusals()
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        for (const auto part : sound_) {
            const auto key = std::pair(i, part);
            const bool refuses =
                in_touch(i) &&
                guard_of(i).is_poison(suspected_work(1, {part}), now);
            if (!refuses) {
                refused_since_.erase(key);
                continue;
            }
            const auto since = refused_since_.try_emplace(key, now).first;
            longest_refusal_ = std::max(
                longest_refusal_,
                std::chrono::duration_cast<milliseconds>(now - since->second));
        }
    }
}

// Time.

void poison_fleet::run(milliseconds time, double sound_rate, double deadly_rate)
{
    const auto end = now + time;
    const auto seconds = std::chrono::duration<double>(step).count();
    while (now < end) {
        run_for(step);
        report_losses();
        advance_upstreams();
        if ((now.time_since_epoch() / step) % 5 == 0) {
            advance_gateways();
            record_refusals();
        }
        for (double left = sound_rate * seconds; left > 0; --left)
            if (chance() < left)
                start_request(std::nullopt);
        for (double left = deadly_rate * seconds; left > 0; --left)
            if (chance() < left && !deadly_.empty())
                start_request(pick(deadly_.size()));
    }
}

unsigned poison_fleet::worst_late_sends() const
{
    unsigned worst = 0;
    for (const auto& each : deadly_)
        worst = std::max(worst, each.late_sends);
    return worst;
}

unsigned poison_fleet::most_crashes() const
{
    unsigned most = 0;
    for (const auto& each : deadly_)
        most = std::max(most, each.crashes);
    return most;
}

poison_fleet::counts poison_fleet::take_counts()
{
    return std::exchange(counts_, {});
}

} // namespace cyclamenrun::testing_support
