#include "copy_turn_search.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t initial_engines = 4;
constexpr std::size_t further_engines = 4;
/**
 * Maximum number of engines with a pending request or a grant. After as many
 * refusals, an engine that refuses is not replaced at once.
 */
constexpr std::size_t max_engines = 16;
/** Interval at which further engines are requested until one is chosen. */
constexpr milliseconds request_more_delay{40};
/** Time for which the search waits for a better turn after the first grant. */
constexpr milliseconds choice_delay{6};

} // namespace

copy_turn_search::copy_turn_search(gateway_context& context,
                                   std::string request_id, std::uint64_t tokens,
                                   hooks on)
    : context_(context), request_id_(std::move(request_id)), tokens_(tokens),
      on_(std::move(on))
{
}

std::string copy_turn_search::turn_id(const upstream_record& engine) const
{
    return request_id_ + ">" + engine.id;
}

void copy_turn_search::start()
{
    request_more(initial_engines);
    schedule_request_more();
}

void copy_turn_search::request_more(std::size_t count)
{
    auto exclude = refused_;
    for (const auto& each : requested_)
        exclude.push_back(each.engine.id);
    const auto more = on_.candidates(std::move(exclude), count);
    for (const auto& engine : more)
        requested_.push_back({engine});
    for (const auto& engine : more) {
        monitor_link::turn_hooks on;
        on.granted = [weak = weak_from_this(), id = engine.id] {
            if (const auto self = weak.lock())
                self->handle_grant(id);
        };
        on.refused = [weak = weak_from_this(), id = engine.id] {
            if (const auto self = weak.lock())
                self->handle_refusal(id);
        };
        context_.monitors->request_turn(
            {engine.address.host, turn_id(engine), tokens_, true},
            std::move(on));
    }
    report_if_refused();
}

void copy_turn_search::report_if_refused()
{
    if (over_ || !requested_.empty())
        return;
    // Posted, since the call may destroy the owner of this search, which may
    // be inside start().
    context_.reactor->post([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->over_ || !self->requested_.empty())
            return;
        self->over_ = true;
        self->on_.none();
    });
}

void copy_turn_search::schedule_request_more()
{
    context_.reactor->post_at(
        context_.reactor->now() + request_more_delay,
        [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || self->over_)
                return;
            self->drop_evacuated();
            const auto requested = self->requested_.size();
            self->request_more(
                std::min(further_engines,
                         max_engines - std::min(max_engines, requested)));
            self->schedule_request_more();
        });
}

void copy_turn_search::drop_evacuated()
{
    std::erase_if(requested_, [&](const requested_engine& each) {
        if (!context_.choice.is_evacuated(each.engine))
            return false;
        context_.monitors->end_turn(turn_id(each.engine));
        return true;
    });
}

void copy_turn_search::handle_grant(const std::string& id)
{
    for (auto& each : requested_)
        each.granted = each.granted || each.engine.id == id;
    if (over_ || std::exchange(choice_pending_, true))
        return;
    context_.reactor->post_at(context_.reactor->now() + choice_delay,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->choose();
                              });
}

void copy_turn_search::handle_refusal(const std::string& id)
{
    if (over_)
        return;
    std::erase_if(requested_, [&](const requested_engine& each) {
        return each.engine.id == id;
    });
    refused_.push_back(id);
    if (refused_.size() < max_engines)
        request_more(1);
    else
        report_if_refused();
}

void copy_turn_search::choose()
{
    choice_pending_ = false;
    if (over_)
        return;
    std::optional<upstream_record> best;
    double least = 0;
    for (const auto& each : requested_) {
        // The directory may report that the engine leaves before its monitor
        // does.
        const auto* state = context_.upstreams.find(each.engine.id);
        if (!each.granted || state == nullptr || state->leaving ||
            context_.choice.is_evacuated(each.engine))
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
    for (const auto& each : requested_) {
        if (each.engine.id != best->id)
            context_.monitors->end_turn(turn_id(each.engine));
    }
    std::erase_if(requested_, [&](const requested_engine& each) {
        return each.engine.id != best->id;
    });
    on_.found(*best);
}

void copy_turn_search::end()
{
    over_ = true;
    for (const auto& each : std::exchange(requested_, {}))
        context_.monitors->end_turn(turn_id(each.engine));
}

} // namespace cyclamenrun
