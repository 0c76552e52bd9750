#include "start_search.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Engines requested in the first round. Limits the messages of a request that
 * is granted in this round.
 */
constexpr std::size_t initial_engines = 8;
/** Further engines in each later round, up to `max_engines` in total. */
constexpr std::size_t further_engines = 8;
constexpr std::size_t max_engines = 32;
/**
 * Interval at which requests are repeated, in case a datagram was lost, and
 * sent to further engines, which may have room.
 */
constexpr milliseconds request_interval{150};
/**
 * Monitors reply at once, which takes a few milliseconds. One that takes
 * longer is down or unreachable. The timeout is small compared with the
 * objective of any generation.
 */
constexpr milliseconds response_timeout{30};
/** After the first grant, the search waits this long for a better one. */
constexpr milliseconds choice_delay{8};

} // namespace

start_search::start_search(gateway_context& context, start_request request,
                           hooks on)
    : context_(context), request_(std::move(request)), on_(std::move(on))
{
}

void start_search::start()
{
    monitor_link::start_hooks on;
    on.granted = [weak = weak_from_this()](const std::string& host,
                                           const engine_occupancy& occupancy) {
        if (const auto self = weak.lock())
            self->handle_grant(host, occupancy);
    };
    on.waits = [weak = weak_from_this()](const std::string& host,
                                         start_denial denial) {
        if (const auto self = weak.lock())
            self->handle_wait(host, denial);
    };
    context_.monitors->watch_start(request_.id, std::move(on));
    request_more(initial_engines);
    context_.reactor->post_timeout(context_.reactor->awake_now() +
                                       response_timeout,
                                   [weak = weak_from_this()] {
                                       if (const auto self = weak.lock())
                                           self->check_responses();
                                   });
    schedule_repeat();
}

void start_search::request_more(std::size_t count)
{
    std::vector<std::string> exclude;
    exclude.reserve(requested_.size());
    for (const auto& each : requested_)
        exclude.push_back(each.engine.id);
    for (const auto& engine : on_.candidates(exclude, count)) {
        requested_.push_back({engine, false, false, std::nullopt});
        context_.monitors->request_start(engine.address.host, request_,
                                         engine.slots);
    }
}

void start_search::schedule_repeat()
{
    context_.reactor->post_at(context_.reactor->now() + request_interval,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->repeat_requests();
                              });
}

void start_search::repeat_requests()
{
    if (over_)
        return;
    // Copied, since the call may destroy the exchange.
    const auto repeats = on_.repeats;
    repeats();
    if (over_)
        return;
    drop_unusable();
    for (const auto& each : requested_)
        context_.monitors->request_start(each.engine.address.host, request_,
                                         each.engine.slots);
    request_more(std::min(further_engines, max_engines - requested_.size()));
    if (requested_.empty()) {
        report_none_usable();
        return;
    }
    schedule_repeat();
}

void start_search::report_none_usable()
{
    cancel();
    // Copied, since the call may destroy the exchange and this search.
    const auto none_usable = on_.none_usable;
    none_usable();
}

void start_search::drop_unusable()
{
    const auto now = context_.reactor->now();
    std::erase_if(requested_, [&](const requested_engine& each) {
        const auto* state = context_.upstreams.find(each.engine.id);
        const bool usable = state != nullptr && !state->leaving &&
                            !state->superseded &&
                            !context_.choice.is_evacuated(state->record) &&
                            !context_.notices.is_resting(each.engine.id, now);
        if (!usable)
            context_.monitors->end_start(each.engine.address.host, request_.id);
        return !usable;
    });
}

void start_search::check_responses()
{
    const bool responded = std::any_of(
        requested_.begin(), requested_.end(),
        [](const requested_engine& each) { return each.responded; });
    if (over_ || responded)
        return;
    cancel();
    // Copied, since the call may destroy the exchange and this search.
    const auto no_response = on_.no_response;
    no_response();
}

bool start_search::all_responded() const
{
    return std::all_of(
        requested_.begin(), requested_.end(),
        [](const requested_engine& each) { return each.responded; });
}

std::vector<start_search::requested_engine>::iterator
start_search::find(const std::string& host)
{
    return std::find_if(requested_.begin(), requested_.end(),
                        [&](const requested_engine& each) {
                            return each.engine.address.host == host;
                        });
}

void start_search::handle_wait(const std::string& host, start_denial denial)
{
    const auto found = find(host);
    if (found == requested_.end())
        return;
    found->responded = true;
    found->passed_over = denial == start_denial::passed_over;
    if (denial == start_denial::refused) {
        requested_.erase(found);
        request_more(1);
        return;
    }
    if (choice_pending_ && all_responded())
        choose();
    else
        report_if_passed_over();
}

bool start_search::is_passed_over() const
{
    const auto passing_over = static_cast<std::size_t>(std::count_if(
        requested_.begin(), requested_.end(),
        [](const requested_engine& each) { return each.passed_over; }));
    return !choice_pending_ && passing_over > requested_.size() / 2;
}

void start_search::report_if_passed_over()
{
    if (over_ || !is_passed_over())
        return;
    // Copied, since the call may destroy the exchange and this search.
    const auto passed_over = on_.passed_over;
    passed_over();
}

bool start_search::may_use(const requested_engine& requested) const
{
    // The directory may report that the engine leaves before its monitor does,
    // and other requests may have used the room at its limit meanwhile.
    const auto* state = context_.upstreams.find(requested.engine.id);
    return requested.occupancy && state != nullptr &&
           state->record == requested.engine &&
           context_.choice.is_usable(requested.engine.id,
                                     context_.reactor->now());
}

void start_search::handle_grant(const std::string& host,
                                const engine_occupancy& occupancy)
{
    const auto found = find(host);
    if (over_ || found == requested_.end()) {
        context_.monitors->end_start(host, request_.id);
        return;
    }
    found->responded = true;
    found->occupancy = occupancy;
    // The engine may have restarted since the start request, or one of another
    // service may have got its address.
    const auto* current = context_.upstreams.find_at(found->engine.address);
    if (current != nullptr && current->record.service == found->engine.service)
        found->engine = current->record;
    if (all_responded()) {
        choose();
        return;
    }
    if (std::exchange(choice_pending_, true))
        return;
    context_.reactor->post_at(context_.reactor->now() + choice_delay,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->choose();
                              });
}

void start_search::choose()
{
    choice_pending_ = false;
    if (over_)
        return;
    const requested_engine* best = nullptr;
    double least = 0;
    for (const auto& each : requested_) {
        if (!may_use(each))
            continue;
        const double cost = on_.cost(each.engine, *each.occupancy);
        if (best != nullptr && cost >= least)
            continue;
        best = &each;
        least = cost;
    }
    if (best == nullptr) {
        release_unusable();
        if (requested_.empty())
            report_none_usable();
        return;
    }
    over_ = true;
    context_.monitors->unwatch_start(request_.id);
    // Copied, since the call may destroy the exchange and this search.
    const auto engine = best->engine;
    const auto found = on_.found;
    release_others(engine.address.host);
    found(engine);
}

void start_search::release_unusable()
{
    std::erase_if(requested_, [&](const requested_engine& each) {
        if (each.occupancy)
            context_.monitors->end_start(each.engine.address.host, request_.id);
        return each.occupancy.has_value();
    });
}

void start_search::release_others(const std::string& host)
{
    for (const auto& each : requested_) {
        if (each.engine.address.host != host)
            context_.monitors->end_start(each.engine.address.host, request_.id);
    }
}

void start_search::cancel()
{
    if (std::exchange(over_, true))
        return;
    context_.monitors->unwatch_start(request_.id);
    release_others({});
}

} // namespace cyclamenrun
