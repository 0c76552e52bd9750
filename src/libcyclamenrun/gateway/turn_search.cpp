#include "turn_search.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t first_asked = 4;
constexpr std::size_t more_asked = 4;
constexpr std::size_t most_asked = 16;
/** Delay until further engines are requested if all links are busy. */
constexpr milliseconds ask_more_after{40};
/** Wait for a better turn after the first grant. */
constexpr milliseconds choosing_time{6};

} // namespace

turn_search::turn_search(gateway_context& context, std::string request_id,
                         std::uint64_t tokens, hooks on)
    : context_(context), request_id_(std::move(request_id)), tokens_(tokens),
      on_(std::move(on))
{
}

std::string turn_search::turn_of(const upstream_record& engine) const
{
    return request_id_ + ">" + engine.id;
}

void turn_search::start()
{
    ask_more(first_asked);
    ask_more_later();
}

void turn_search::ask_more(std::size_t count)
{
    auto but = refused_;
    for (const auto& each : asked_)
        but.push_back(each.engine.id);
    const auto more = on_.candidates(std::move(but), count);
    for (const auto& engine : more)
        asked_.push_back({engine});
    for (const auto& engine : more) {
        monitor_link::turn_hooks on;
        on.given = [weak = weak_from_this(), id = engine.id] {
            if (const auto self = weak.lock())
                self->take_given(id);
        };
        on.refused = [weak = weak_from_this(), id = engine.id] {
            if (const auto self = weak.lock())
                self->take_refused(id);
        };
        context_.monitors->want_turn(
            {engine.address.host, turn_of(engine), tokens_, true},
            std::move(on));
    }
    end_if_refused();
}

void turn_search::end_if_refused()
{
    if (over_ || !asked_.empty())
        return;
    over_ = true;
    // Copied, since the call may destroy the owner of this search.
    const auto none = on_.none;
    none();
}

void turn_search::ask_more_later()
{
    context_.reactor->post_at(
        context_.reactor->now() + ask_more_after, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || self->over_)
                return;
            const auto asked = self->asked_.size();
            self->ask_more(
                std::min(more_asked, most_asked - std::min(most_asked, asked)));
            self->ask_more_later();
        });
}

void turn_search::take_given(const std::string& id)
{
    for (auto& each : asked_)
        each.given = each.given || each.engine.id == id;
    if (over_ || std::exchange(choosing_, true))
        return;
    context_.reactor->post_at(context_.reactor->now() + choosing_time,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->choose();
                              });
}

void turn_search::take_refused(const std::string& id)
{
    if (over_)
        return;
    std::erase_if(
        asked_, [&](const asked_engine& each) { return each.engine.id == id; });
    refused_.push_back(id);
    if (refused_.size() < most_asked)
        ask_more(1);
    else
        end_if_refused();
}

void turn_search::choose()
{
    choosing_ = false;
    if (over_)
        return;
    std::optional<upstream_record> best;
    double least = 0;
    for (const auto& each : asked_) {
        // The directory may report that the engine leaves before its monitor
        // does.
        const auto* state = context_.board.find(each.engine.id);
        if (!each.given || state == nullptr || state->leaving)
            continue;
        const double cost = on_.cost(each.engine);
        if (best && cost >= least)
            continue;
        best = each.engine;
        least = cost;
    }
    if (!best)
        return;
    over_ = true;
    for (const auto& each : asked_) {
        if (each.engine.id != best->id)
            context_.monitors->end_turn(turn_of(each.engine));
    }
    std::erase_if(asked_, [&](const asked_engine& each) {
        return each.engine.id != best->id;
    });
    // Copied, since the call may destroy the owner of this search.
    const auto found = on_.found;
    found(*best);
}

void turn_search::end()
{
    over_ = true;
    for (const auto& each : std::exchange(asked_, {}))
        context_.monitors->end_turn(turn_of(each.engine));
}

} // namespace cyclamenrun
