#include "upstream_search.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Engines that are queried for their load when no monitor responds. The better
 * of two random engines balances almost as well as the best of all.
 */
constexpr std::size_t probed_engines = 2;

} // namespace

upstream_search::upstream_search(gateway_context& context,
                                 const served_request& served,
                                 request_conclusion& conclusion, hooks on)
    : context_(context), served_(served), conclusion_(conclusion),
      on_(std::move(on))
{
}

void upstream_search::start()
{
    if (needs_start_grant())
        search_start();
    else if (served_.profile.engine() != nullptr)
        probe_loads();
    else
        choose_by_estimates();
}

void upstream_search::cancel()
{
    if (search_)
        search_->cancel();
    if (probe_)
        probe_->cancel();
}

bool upstream_search::has_alternative() const
{
    return context_.choice
        .for_request(served_.service, make_placement_request(), served_.tried,
                     context_.reactor->now())
        .has_value();
}

bool upstream_search::needs_start_grant() const
{
    return uses_monitors() && !context_.monitors->no_monitor_responds();
}

bool upstream_search::uses_monitors() const
{
    return served_.profile.engine() != nullptr && context_.monitors;
}

placement_request upstream_search::make_placement_request() const
{
    auto request =
        served_.profile.make_placement_request(context_.failure_domain);
    request.gateways = context_.monitored_gateways;
    request.version = served_.version;
    request.solo = served_.solo;
    return request;
}

void upstream_search::search_start()
{
    start_search::hooks on;
    on.candidates = [this](const std::vector<std::string>& exclude,
                           std::size_t count) {
        auto excluded = served_.tried;
        excluded.insert(excluded.end(), exclude.begin(), exclude.end());
        return context_.choice.start_candidates(
            served_.service, make_placement_request(), excluded, count,
            context_.reactor->now());
    };
    on.cost = [this](const upstream_record& engine,
                     const engine_occupancy& occupancy) {
        return context_.choice.start_cost(engine, occupancy,
                                          make_placement_request(),
                                          context_.reactor->now());
    };
    on.found = [this, requested_at = context_.reactor->now()](
                   const upstream_record& engine) {
        conclusion_.recorder().start_found(
            served_.service, engine.id, search_->requested_count(),
            time_since(requested_at, context_.reactor->now()));
        handle_start_found(engine);
    };
    on.passed_over = [this] {
        if (!conclusion_.may_refuse())
            return;
        conclusion_.recorder().start_passed_over(search_->requested_count());
        conclusion_.refuse(gateway_refusal::share_spent,
                           served_.admitted.route->objective);
    };
    on.repeats = [this] {
        const auto self = shared_from_this();
        on_.refuse_if_stopping();
    };
    on.no_response = [this] { handle_no_response(); };
    on.none_usable = [this] {
        const auto self = shared_from_this();
        search_.reset();
        on_.restart();
    };
    search_ = std::make_shared<start_search>(
        context_,
        served_.profile.make_start_request(served_.facts.id,
                                           served_.request.arrived),
        std::move(on));
    search_->start();
}

void upstream_search::handle_start_found(const upstream_record& upstream)
{
    const auto self = shared_from_this();
    search_.reset();
    const auto request_id = served_.facts.id;
    // Other requests may have used the room at the engine's limit meanwhile, or
    // have learnt that it rests.
    const bool usable =
        context_.choice.is_usable(upstream.id, context_.reactor->now()) &&
        context_.choice.fits(upstream, served_.version,
                             context_.reactor->now());
    if (usable && on_.may_send()) {
        on_.found(upstream);
        return;
    }
    context_.monitors->end_start(upstream.address.host, request_id);
    if (!usable)
        on_.restart();
}

void upstream_search::handle_no_response()
{
    conclusion_.recorder().start_unanswered(search_->requested_count());
    search_.reset();
    probe_loads();
}

void upstream_search::probe_loads()
{
    auto engines = context_.choice.start_candidates(
        served_.service, make_placement_request(), served_.tried,
        probed_engines, context_.reactor->now());
    probe_ = std::make_shared<load_probe>(context_, std::move(engines),
                                          [weak = weak_from_this()] {
                                              if (const auto self = weak.lock())
                                                  self->handle_loads();
                                          });
    probe_->start();
}

void upstream_search::handle_loads()
{
    if (!conclusion_.over() && on_.may_send())
        choose_by_estimates();
}

std::optional<placed_upstream> upstream_search::place()
{
    const auto now = context_.reactor->now();
    const auto probe = std::exchange(probe_, nullptr);
    if (probe) {
        auto placed = context_.choice.for_request_among(
            probe->engines(), make_placement_request(), now);
        if (placed)
            return placed;
    }
    return context_.choice.for_request(
        served_.service, make_placement_request(), served_.tried, now);
}

void upstream_search::choose_by_estimates()
{
    const auto placed = place();
    if (placed) {
        conclusion_.recorder().placed(*placed);
        const auto left =
            time_left(served_.admitted.deadline, context_.reactor->now());
        // The deadline would pass in the queue of the best upstream. The caller
        // should retry once the rest of the queue takes half of the time that
        // the request has left now.
        if (conclusion_.may_refuse() &&
            placed->estimated_time_to_first_part > left)
            conclusion_.refuse(gateway_refusal::overloaded,
                               placed->estimated_time_to_first_part - left / 2);
        else
            on_.found(placed->record);
        return;
    }
    if (on_.refuse_without_room())
        return;
    conclusion_.refuse(served_.tried.empty() ? gateway_refusal::no_upstream
                                             : gateway_refusal::upstreams_busy);
}

} // namespace cyclamenrun
