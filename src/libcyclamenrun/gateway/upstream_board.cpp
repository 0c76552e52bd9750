#include "upstream_board.hpp"

#include "reading_speed.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * After an outage of the directory, records that lapsed during it are back
 * within two seconds if the upstream lives.
 */
constexpr milliseconds doubt_time{1900};
/**
 * A load is taken up to this long after its host saw it: a dispatch that is
 * younger than that may be missing from it.
 */
constexpr milliseconds load_delay{30};
/** A load that is older says little; own counts are used in its place. */
constexpr milliseconds load_lifetime{1500};
/**
 * An upstream to which no connection could be made is tried again after this
 * time: when this VM is cut off, each further request would wait as long as
 * the first for nothing, and its caller could have gone elsewhere.
 */
constexpr milliseconds unreachable_time{600};
/**
 * An upstream that has started is in the directory after this time, or it is
 * not used any more.
 */
constexpr milliseconds listing_time{5000};
/** A monitor may tell of an upstream for so long after it was dropped. */
constexpr milliseconds dropped_memory{60000};
constexpr std::size_t most_dropped = 4096;
/** Weight of one result in the failure rate. */
constexpr double failure_weight = 0.15;
/** Time in which a failure rate halves with no news. */
constexpr milliseconds failure_half_life{2000};
/** Part of its output that a running request has yet to make, on average. */
constexpr double part_to_grow = 0.5;

double unreported_tokens(const upstream_state& upstream)
{
    return std::accumulate(
        upstream.unreported.begin(), upstream.unreported.end(), 0.0,
        [](double sum, const auto& dispatch) {
            return sum + static_cast<double>(dispatch.prompt_tokens);
        });
}

double failure_rate_at(const upstream_state& upstream, time_point now)
{
    const auto halves =
        std::chrono::duration<double>(now - upstream.failure_at) /
        std::chrono::duration<double>(failure_half_life);
    return upstream.failure_rate * std::exp2(-std::max(0.0, halves));
}

struct believed {
    double requests = 0;
    double unread_ms = 0; ///< to read the prompts that come before a new one
    double memory_tokens = 0;
};

double reading_ms(const upstream_state& upstream, double tokens)
{
    const bool told = upstream.load && upstream.load->tokens_read_per_ms > 0;
    return tokens / (told ? upstream.load->tokens_read_per_ms
                          : reading_speed::prior_tokens_per_ms);
}

/**
 * From the latest load and own dispatches since, or own counts alone. Of the
 * requests that run there no more is known than of the one to be placed: they
 * are taken for its like.
 */
believed believed_load(const upstream_state& upstream,
                       const placement_request& request, time_point now)
{
    believed result;
    const bool fresh = has_fresh_load(upstream, now);
    const double unreported = unreported_tokens(upstream);
    const double growth =
        static_cast<double>(request.output_tokens) * part_to_grow;
    if (!fresh) {
        // Other gateways send there as much as this one does.
        result.requests = upstream.own_running;
        result.memory_tokens =
            result.requests * request.gateways *
            (static_cast<double>(request.prompt_tokens) + growth);
        result.unread_ms = reading_ms(upstream, unreported);
        return result;
    }
    const auto& load = *upstream.load;
    result.requests = static_cast<double>(load.running + load.queued +
                                          upstream.unreported.size());
    result.unread_ms = static_cast<double>(load.unread.count()) +
                       reading_ms(upstream, unreported);
    // The engine's own word has no times, only those that wait.
    if (load.tokens_read_per_ms <= 0)
        result.unread_ms += reading_ms(
            upstream, static_cast<double>((load.starting + load.queued) *
                                          request.prompt_tokens));
    result.memory_tokens = static_cast<double>(load.memory_used) + unreported +
                           load.running * growth;
    return result;
}

} // namespace

bool has_fresh_load(const upstream_state& upstream, time_point now)
{
    return upstream.load && now - upstream.load_at <= load_lifetime;
}

void upstream_board::apply(const upstream_change& change, time_point now,
                           bool doubt)
{
    if (change.record)
        add(*change.record, now);
    else
        remove(change.id, now, doubt);
}

void upstream_board::replace_all(const std::vector<upstream_change>& all,
                                 time_point now, bool doubt)
{
    std::set<std::string> present;
    for (const auto& change : all) {
        apply(change, now, doubt);
        if (change.record)
            present.insert(change.id);
    }
    std::vector<std::string> missing;
    for (const auto& [id, upstream] : upstreams_) {
        if (!present.contains(id) && !upstream.vouched_until)
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now, doubt);
}

void upstream_board::add(const upstream_record& record, time_point)
{
    const auto found = upstreams_.find(record.id);
    // A process that starts again under its id knows nothing of before.
    if (found != upstreams_.end() && !found->second.vouched_until &&
        (found->second.record.started_ms != record.started_ms ||
         found->second.record.address != record.address))
        drop(record.id);
    dropped_.erase(record.id);
    auto& upstream = upstreams_[record.id];
    upstream.record = record;
    upstream.vouched_until.reset();
    upstream.doubted_until.reset();
    upstream.removed = false;
    list(upstream);
    if (record.draining)
        leave(upstream, std::nullopt);
    else if (!upstream.load || !upstream.load->leaving)
        upstream.leaving = false;
}

void upstream_board::list(upstream_state& upstream)
{
    auto& listed = by_address_[to_string(upstream.record.address)];
    const auto other = upstreams_.find(listed);
    const bool taken = other != upstreams_.end() &&
                       other->first != upstream.record.id &&
                       other->second.record.address == upstream.record.address;
    upstream.superseded =
        taken && other->second.record.started_ms > upstream.record.started_ms;
    if (upstream.superseded)
        return;
    if (taken)
        other->second.superseded = true;
    listed = upstream.record.id;
}

void upstream_board::remove(const std::string& id, time_point now, bool doubt)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    if (doubt && !upstream.leaving) {
        if (!upstream.doubted_until)
            upstream.doubted_until = now + doubt_time;
        return;
    }
    note_dropped(id, now);
    // It serves on for a while, so what runs there is left alone.
    upstream.doubted_until.reset();
    leave(upstream, std::nullopt);
    upstream.removed = true;
    if (upstream.own_running == 0)
        drop(id);
}

void upstream_board::end_doubts(time_point now)
{
    std::vector<std::string> gone;
    for (const auto& [id, upstream] : upstreams_) {
        const bool unlisted =
            upstream.vouched_until && *upstream.vouched_until <= now;
        const bool lapsed =
            upstream.doubted_until && *upstream.doubted_until <= now;
        if ((unlisted && !upstream.removed) || lapsed)
            gone.push_back(id);
    }
    for (const auto& id : gone)
        remove(id, now, false);
}

void upstream_board::note_dropped(const std::string& id, time_point now)
{
    if (dropped_.size() >= most_dropped)
        std::erase_if(dropped_,
                      [&](const auto& each) { return each.second <= now; });
    if (dropped_.size() < most_dropped)
        dropped_[id] = now + dropped_memory;
}

void upstream_board::take_identity(const ip_endpoint& address,
                                   const std::string& id, time_point now)
{
    const auto listed = by_address_.find(to_string(address));
    if (listed == by_address_.end() || listed->second == id)
        return;
    auto& predecessor = upstreams_.at(listed->second);
    const auto dropped = dropped_.find(id);
    if (dropped != dropped_.end() && dropped->second > now)
        return;
    auto record = predecessor.record;
    record.id = id;
    record.draining = false;
    // Later than its predecessor; the directory tells when.
    ++record.started_ms;
    const auto [found, is_new] = upstreams_.try_emplace(id);
    if (is_new) {
        found->second.record = record;
        found->second.vouched_until = now + listing_time;
    }
    if (found->second.record.address != address)
        return;
    predecessor.superseded = true;
    found->second.superseded = false;
    listed->second = id;
}

void upstream_board::leave(upstream_state& upstream,
                           std::optional<time_point> leaves_at)
{
    if (leaves_at)
        upstream.leaves_at = leaves_at;
    if (std::exchange(upstream.leaving, true))
        return;
    if (on_.leaving)
        on_.leaving(upstream.record.id, leaves_at);
}

void upstream_board::drop(const std::string& id)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    const auto address = to_string(found->second.record.address);
    const auto listed = by_address_.find(address);
    if (listed != by_address_.end() && listed->second == id)
        by_address_.erase(listed);
    upstreams_.erase(found);
    if (on_.gone)
        on_.gone(id);
}

void upstream_board::take_load(const ip_endpoint& address,
                               const engine_load& load, time_point now)
{
    const auto id = by_address_.find(to_string(address));
    if (id == by_address_.end())
        return;
    auto& upstream = upstreams_.at(id->second);
    upstream.load = load;
    upstream.load_at = now;
    while (!upstream.unreported.empty() &&
           upstream.unreported.front().at < now - load_delay)
        upstream.unreported.pop_front();
    if (!load.leaving)
        return;
    std::optional<time_point> leaves_at;
    if (load.leaves_in_ms)
        leaves_at = now + milliseconds(*load.leaves_in_ms);
    leave(upstream, leaves_at);
}

void upstream_board::expect(const std::string& id, std::uint64_t prompt_tokens,
                            time_point now)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& unreported = found->second.unreported;
    unreported.push_back({now, prompt_tokens});
    while (unreported.front().at < now - load_lifetime)
        unreported.pop_front();
}

void upstream_board::dispatched(const std::string& id,
                                std::uint64_t prompt_tokens, time_point now)
{
    expect(id, prompt_tokens, now);
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end())
        ++found->second.own_running;
}

void upstream_board::settled(const std::string& id)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end() || found->second.own_running == 0)
        return;
    --found->second.own_running;
    if (found->second.removed && found->second.own_running == 0)
        drop(id);
}

void upstream_board::succeeded(const std::string& id, time_point now)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        fold_failure(found->second, 0.0, now);
}

void upstream_board::failed(const std::string& id, time_point now)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        fold_failure(found->second, 1.0, now);
}

void upstream_board::unreached(const std::string& id, time_point now)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.unreachable_until = now + unreachable_time;
}

void upstream_board::reached(const std::string& id)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.unreachable_until = {};
}

void upstream_board::misplaced(const std::string& id)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.superseded = true;
}

void upstream_board::fold_failure(upstream_state& upstream, double sample,
                                  time_point now) const
{
    const double rate = failure_rate_at(upstream, now);
    upstream.failure_rate = rate + failure_weight * (sample - rate);
    upstream.failure_at = now;
}

const upstream_state* upstream_board::find(const std::string& id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second;
}

const upstream_state* upstream_board::find_at(const ip_endpoint& address) const
{
    const auto listed = by_address_.find(to_string(address));
    return listed == by_address_.end() ? nullptr : find(listed->second);
}

std::vector<const upstream_state*>
upstream_board::available(const std::string& service) const
{
    std::vector<const upstream_state*> result;
    for (const auto& [id, upstream] : upstreams_) {
        if (!upstream.leaving && !upstream.superseded &&
            upstream.record.service == service)
            result.push_back(&upstream);
    }
    return result;
}

std::set<std::string>
upstream_board::hosts_in_use(const std::string& service) const
{
    std::set<std::string> result;
    for (const auto& [id, upstream] : upstreams_) {
        if (upstream.record.service == service && upstream.own_running > 0)
            result.insert(upstream.record.address.host);
    }
    return result;
}

std::set<std::string> upstream_board::services() const
{
    std::set<std::string> result;
    for (const auto& [id, upstream] : upstreams_)
        result.insert(upstream.record.service);
    return result;
}

service_totals upstream_board::totals(const std::string& service,
                                      time_point now) const
{
    service_totals result;
    for (const auto* upstream : available(service)) {
        const auto load = believed_load(*upstream, {}, now);
        ++result.upstreams;
        result.free_slots +=
            std::max(0.0, upstream->record.slots - load.requests);
        if (!upstream->load)
            continue;
        result.free_memory_tokens +=
            std::max(0.0, static_cast<double>(upstream->load->memory_total) -
                              load.memory_tokens);
        result.queued += upstream->load->queued;
    }
    return result;
}

placement_candidate placement_of(const upstream_state& upstream,
                                 const placement_request& request,
                                 time_point now)
{
    placement_candidate candidate;
    candidate.same_failure_domain =
        upstream.record.failure_domain == request.from_domain;
    candidate.failure_rate = failure_rate_at(upstream, now);
    candidate.doubtful = upstream.doubted_until.has_value();
    candidate.unreachable = now < upstream.unreachable_until;
    const auto load = believed_load(upstream, request, now);
    const double slots = std::max(1U, upstream.record.slots);
    candidate.slots_taken = (load.requests + 1) / slots;
    if (request.engine_tokens == 0)
        return candidate;
    const double objective = static_cast<double>(
        std::max(request.objective, milliseconds(1)).count());
    candidate.wait = load.unread_ms / objective;
    candidate.memory_taken =
        (load.memory_tokens +
         static_cast<double>(request.prompt_tokens + request.output_tokens)) /
        static_cast<double>(request.engine_tokens);
    return candidate;
}

milliseconds first_part_after(const upstream_state& upstream,
                              const placement_request& request, time_point now)
{
    if (request.engine_tokens == 0 || !upstream.load)
        return milliseconds(0);
    const double ms =
        believed_load(upstream, request, now).unread_ms +
        reading_ms(upstream, static_cast<double>(request.prompt_tokens));
    return milliseconds(std::llround(ms));
}

} // namespace cyclamenrun
