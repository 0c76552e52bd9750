#include "start_search.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Engines in the first round; only this bounds the usual message rate. */
constexpr std::size_t first_asked = 8;
/** Further engines in each later round, up to `most_asked` in total. */
constexpr std::size_t more_asked = 8;
constexpr std::size_t most_asked = 32;
/** Covers lost datagrams and finds other engines that have room by then. */
constexpr milliseconds ask_interval{150};
/**
 * Monitors reply at once, with a delay of a few milliseconds. One that takes
 * longer is down or unreachable. The timeout is small compared with any
 * generation's objective.
 */
constexpr milliseconds answer_time{30};
/**
 * After the first grant, the search waits this long for a better one.
 */
constexpr milliseconds choosing_time{8};

} // namespace

start_search::start_search(gateway_context& context, start_request wanted,
                           hooks on)
    : context_(context), wanted_(std::move(wanted)), on_(std::move(on))
{
}

void start_search::start()
{
    monitor_link::start_hooks on;
    on.given = [weak = weak_from_this()](const std::string& host,
                                         const given_place& place) {
        if (const auto self = weak.lock())
            self->take_given(host, place);
    };
    on.waits = [weak = weak_from_this()](const std::string& host,
                                         start_wait wait) {
        if (const auto self = weak.lock())
            self->take_waits(host, wait);
    };
    context_.monitors->hear_of_start(wanted_.id, std::move(on));
    ask_more(first_asked);
    context_.reactor->post_at(context_.reactor->now() + answer_time,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->check_heard();
                              });
    ask_again_later();
}

void start_search::ask_more(std::size_t count)
{
    std::vector<std::string> but;
    but.reserve(asked_.size());
    for (const auto& each : asked_)
        but.push_back(each.engine.id);
    for (const auto& engine : on_.candidates(but, count)) {
        asked_.push_back({engine, false, false, std::nullopt});
        context_.monitors->ask_start(engine.address.host, wanted_,
                                     engine.slots);
    }
}

void start_search::ask_again_later()
{
    context_.reactor->post_at(context_.reactor->now() + ask_interval,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->ask_again();
                              });
}

void start_search::ask_again()
{
    if (over_)
        return;
    drop_gone();
    for (const auto& each : asked_)
        context_.monitors->ask_start(each.engine.address.host, wanted_,
                                     each.engine.slots);
    ask_more(std::min(more_asked, most_asked - asked_.size()));
    ask_again_later();
}

void start_search::drop_gone()
{
    std::erase_if(asked_, [&](const asked_engine& each) {
        const auto* state = context_.board.find(each.engine.id);
        return state == nullptr || state->leaving;
    });
}

void start_search::check_heard()
{
    const bool heard =
        std::any_of(asked_.begin(), asked_.end(),
                    [](const asked_engine& each) { return each.heard; });
    if (over_ || heard)
        return;
    cancel();
    // Copied, since the call may destroy the exchange and this search.
    const auto unheard = on_.unheard;
    unheard();
}

bool start_search::all_heard() const
{
    return std::all_of(asked_.begin(), asked_.end(),
                       [](const asked_engine& each) { return each.heard; });
}

std::vector<start_search::asked_engine>::iterator
start_search::find(const std::string& host)
{
    return std::find_if(asked_.begin(), asked_.end(),
                        [&](const asked_engine& each) {
                            return each.engine.address.host == host;
                        });
}

void start_search::take_waits(const std::string& host, start_wait wait)
{
    const auto found = find(host);
    if (found == asked_.end())
        return;
    found->heard = true;
    found->passes_over = wait == start_wait::passed_over;
    if (wait == start_wait::refused) {
        asked_.erase(found);
        ask_more(1);
        return;
    }
    if (choosing_ && all_heard())
        choose();
    else
        end_if_passed_over();
}

bool start_search::is_passed_over() const
{
    const auto over = static_cast<std::size_t>(std::count_if(
        asked_.begin(), asked_.end(),
        [](const asked_engine& each) { return each.passes_over; }));
    return !choosing_ && over > asked_.size() / 2;
}

void start_search::end_if_passed_over()
{
    if (over_ || !is_passed_over())
        return;
    // Copied, since the call may destroy the exchange and this search.
    const auto passed_over = on_.passed_over;
    passed_over();
}

bool start_search::may_use(const asked_engine& engine) const
{
    // The directory may report that the engine leaves before its monitor does.
    const auto* state = context_.board.find(engine.engine.id);
    return engine.place && state != nullptr && !state->leaving &&
           state->record == engine.engine;
}

void start_search::take_given(const std::string& host, const given_place& place)
{
    const auto found = find(host);
    if (over_ || found == asked_.end()) {
        context_.monitors->end_start(host, wanted_.id);
        return;
    }
    found->heard = true;
    found->place = place;
    // The engine may have restarted since the start request.
    const auto* there = context_.board.find_at(found->engine.address);
    if (there != nullptr)
        found->engine = there->record;
    if (all_heard()) {
        choose();
        return;
    }
    if (std::exchange(choosing_, true))
        return;
    context_.reactor->post_at(context_.reactor->now() + choosing_time,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->choose();
                              });
}

void start_search::choose()
{
    choosing_ = false;
    if (over_)
        return;
    const asked_engine* best = nullptr;
    double least = 0;
    for (const auto& each : asked_) {
        if (!may_use(each))
            continue;
        const double cost = on_.cost(each.engine, *each.place);
        if (best != nullptr && cost >= least)
            continue;
        best = &each;
        least = cost;
    }
    if (best == nullptr)
        return;
    over_ = true;
    context_.monitors->forget_start(wanted_.id);
    // Copied, since the call may destroy the exchange and this search.
    const auto engine = best->engine;
    const auto use = on_.found;
    end_but(engine.address.host);
    use(engine);
}

void start_search::end_but(const std::string& host)
{
    for (const auto& each : asked_) {
        if (each.engine.address.host != host)
            context_.monitors->end_start(each.engine.address.host, wanted_.id);
    }
}

void start_search::cancel()
{
    if (std::exchange(over_, true))
        return;
    context_.monitors->forget_start(wanted_.id);
    end_but({});
}

} // namespace cyclamenrun
