#include "start_search.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Engines that are asked at first; messages grow with it alone. */
constexpr std::size_t first_asked = 8;
/** With each further time of asking, until it has asked `most_asked`. */
constexpr std::size_t more_asked = 8;
constexpr std::size_t most_asked = 32;
/** In case a datagram was lost, and because other engines may have room. */
constexpr milliseconds ask_interval{150};
/**
 * Monitors answer at once, and are some milliseconds away. Later, they are
 * down or cut off; the time is small against any objective of a generation.
 */
constexpr milliseconds answer_time{30};
/**
 * Once it may start somewhere, it waits so long for the answers of the others,
 * for a better place.
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
    // A copy: the call may end the exchange, and this with it.
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
    // A copy: the call may end the exchange, and this with it.
    const auto passed_over = on_.passed_over;
    passed_over();
}

bool start_search::may_use(const asked_engine& engine) const
{
    // The directory may know sooner than the monitor that it leaves.
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
    // The engine may have started again since it was asked.
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
    // Copies: the call may end the exchange, and this with it.
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
