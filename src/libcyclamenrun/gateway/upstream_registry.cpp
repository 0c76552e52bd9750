#include "upstream_registry.hpp"

#include "upstream_estimates.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Time in which an unconfirmed upstream must renew its record, from when this
 * gateway learns that it is missing, which is after the end of an outage of the
 * directory. Live upstreams renew within two seconds of that end.
 */
constexpr milliseconds unconfirmed_timeout{1900};
/**
 * Maximum time between the measurement of a load and its arrival here. A
 * dispatch younger than that may be missing from the load.
 */
constexpr milliseconds max_load_delay{30};
/** Reports that were made before a connection broke arrive within this time. */
constexpr milliseconds max_report_delay{200};
/**
 * An upstream to which no connection could be made is tried again after this
 * time. Without it, while this VM is cut off, each further request would wait
 * for a connection timeout, although its caller could use another gateway.
 */
constexpr milliseconds unreachable_retry_delay{600};
/**
 * An upstream that only a monitor has reported is removed after this time
 * unless the directory lists it.
 */
constexpr milliseconds listing_timeout{5000};
/** Time in which a monitor's report does not add a removed upstream again. */
constexpr milliseconds removed_id_retention{60000};
constexpr std::size_t max_removed_ids = 4096;
/** Weight of one result in the failure rate. */
constexpr double failure_weight = 0.15;

} // namespace

void upstream_registry::apply(const upstream_change& change, time_point now,
                              bool after_outage)
{
    if (change.record)
        add(*change.record, now);
    else
        remove(change.id, now, after_outage);
}

void upstream_registry::replace_all(const std::vector<upstream_change>& all,
                                    time_point now, bool after_outage)
{
    std::set<std::string> present;
    for (const auto& change : all) {
        apply(change, now, after_outage);
        if (change.record)
            present.insert(change.id);
    }
    std::vector<std::string> missing;
    for (const auto& [id, upstream] : upstreams_) {
        if (!present.contains(id) && !upstream.monitor_only_until)
            missing.push_back(id);
    }
    for (const auto& id : missing)
        remove(id, now, after_outage);
}

void upstream_registry::add(const upstream_record& record, time_point now)
{
    // A process that restarts under its id has lost the state of the old one.
    if (replaces_process(record)) {
        if (on_.replaced)
            on_.replaced(record.id);
        erase(record.id);
    }
    if (on_.listed)
        on_.listed(record);
    erased_records_.erase(record.id);
    removed_ids_.erase(record.id);
    auto& upstream = upstreams_[record.id];
    upstream.record = record;
    if (upstream.process.listed() != record.started_ms)
        upstream.process = process_watch(record.started_ms);
    upstream.monitor_only_until.reset();
    upstream.unconfirmed_until.reset();
    upstream.removed = false;
    const auto left = owners_.claim(record, now);
    if (left)
        update_owner(*left);
    update_owner(record.address);
    // The directory may list an upstream as usable after it has said so.
    if (record.draining || has_said_leaving(record.id))
        mark_leaving(upstream, std::nullopt);
    else if (!upstream.load || !upstream.load->leaving)
        upstream.leaving = false;
}

bool upstream_registry::replaces_process(const upstream_record& record) const
{
    const auto found = upstreams_.find(record.id);
    if (found != upstreams_.end() && found->second.monitor_only_until)
        return found->second.record.address != record.address;
    if (found != upstreams_.end())
        return is_other_process(found->second.record, record);
    const auto erased = erased_records_.find(record.id);
    return erased != erased_records_.end() &&
           is_other_process(erased->second, record);
}

void upstream_registry::update_owner(const ip_endpoint& address)
{
    for (const auto& id : owners_.claimants(address))
        if (const auto found = upstreams_.find(id); found != upstreams_.end())
            found->second.superseded = owners_.is_superseded(id);
    if (on_.contested && owners_.is_contested(address))
        on_.contested(address);
}

void upstream_registry::update_services()
{
    for (const auto& address : owners_.addresses())
        update_owner(address);
}

void upstream_registry::remove(const std::string& id, time_point now,
                               bool after_outage)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    auto& upstream = found->second;
    if (after_outage && !upstream.leaving) {
        if (!upstream.unconfirmed_until)
            upstream.unconfirmed_until = now + unconfirmed_timeout;
        return;
    }
    record_removal(id, now);
    // The upstream may continue to serve for a while, so its state is kept for
    // the requests that run there.
    upstream.unconfirmed_until.reset();
    mark_leaving(upstream, std::nullopt);
    upstream.removed = true;
    owners_.record_removal(id);
    const auto address = upstream.record.address;
    if (upstream.own_running == 0)
        erase(id);
    else
        update_owner(address);
}

void upstream_registry::remove_unlisted(time_point now)
{
    std::vector<std::string> expired;
    for (const auto& [id, upstream] : upstreams_) {
        const bool never_listed =
            upstream.monitor_only_until && *upstream.monitor_only_until <= now;
        const bool not_renewed =
            upstream.unconfirmed_until && *upstream.unconfirmed_until <= now;
        if ((never_listed && !upstream.removed) || not_renewed)
            expired.push_back(id);
    }
    for (const auto& id : expired)
        remove(id, now, false);
}

void upstream_registry::record_removal(const std::string& id, time_point now)
{
    if (removed_ids_.size() >= max_removed_ids)
        std::erase_if(removed_ids_,
                      [&](const auto& each) { return each.second <= now; });
    if (removed_ids_.size() < max_removed_ids)
        removed_ids_[id] = now + removed_id_retention;
}

void upstream_registry::update_identity(const ip_endpoint& address,
                                        const std::string& id, time_point now)
{
    const auto owner = upstreams_.find(owners_.owner(address));
    if (owner == upstreams_.end())
        return;
    const auto removed = removed_ids_.find(id);
    if (removed != removed_ids_.end() && removed->second > now)
        return;
    if (!upstreams_.contains(id))
        add_unlisted(owner->second.record, id, now);
    if (upstreams_.at(id).record.address != address)
        return;
    owners_.record_responder(address, id, now);
    update_owner(address);
}

void upstream_registry::add_unlisted(upstream_record predecessor,
                                     const std::string& id, time_point now)
{
    auto record = std::move(predecessor);
    record.id = id;
    record.draining = false;
    record.version.clear();
    record.cold_until.reset();
    if (on_.unlisted)
        on_.unlisted(record);
    // The address may have been assigned to an upstream of another service.
    record.service.clear();
    auto& added = upstreams_[id];
    added.record = std::move(record);
    added.monitor_only_until = now + listing_timeout;
    added.leaving = has_said_leaving(id);
}

void upstream_registry::mark_leaving(upstream_state& upstream,
                                     std::optional<time_point> leaves_at)
{
    if (leaves_at)
        upstream.leaves_at = leaves_at;
    if (std::exchange(upstream.leaving, true))
        return;
    if (on_.leaving)
        on_.leaving(upstream.record.id, leaves_at);
}

void upstream_registry::erase(const std::string& id)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return;
    const auto address = found->second.record.address;
    owners_.withdraw(id);
    // The start of one that only a monitor has reported is not known.
    if (!found->second.monitor_only_until) {
        if (erased_records_.size() >= max_removed_ids)
            erased_records_.erase(erased_records_.begin());
        erased_records_[id] = found->second.record;
    }
    upstreams_.erase(found);
    update_owner(address);
    if (on_.erased)
        on_.erased(id);
}

void upstream_registry::update_load(const ip_endpoint& address,
                                    const engine_load& load, time_point now)
{
    const auto owner = upstreams_.find(owners_.owner(address));
    if (owner == upstreams_.end())
        return;
    auto& upstream = owner->second;
    upstream.load = load;
    upstream.load_at = now;
    upstream.process.record_report(load.started_ms, now - max_report_delay);
    while (!upstream.unreported.empty() &&
           upstream.unreported.front().at < now - max_load_delay)
        upstream.unreported.pop_front();
    if (!load.leaving)
        return;
    std::optional<time_point> leaves_at;
    if (load.leaves_in_ms)
        leaves_at = now + milliseconds(*load.leaves_in_ms);
    mark_leaving(upstream, leaves_at);
}

void upstream_registry::record_process_start(const std::string& id,
                                             std::int64_t started_ms,
                                             time_point asked_at)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.process.record_report(started_ms, asked_at);
}

void upstream_registry::record_connection_loss(const std::string& id,
                                               time_point now)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.process.record_loss(now);
}

void upstream_registry::record_crash(const upstream_record& upstream,
                                     time_point now)
{
    const auto found = upstreams_.find(upstream.id);
    if (found != upstreams_.end() &&
        !is_other_process(found->second.record, upstream))
        found->second.process.record_crash(now);
}

process_standing upstream_registry::standing(const upstream_record& upstream,
                                             time_point now) const
{
    const auto* state = find(upstream.id);
    if (state == nullptr)
        return process_standing::presumed;
    return is_other_process(state->record, upstream)
               ? process_standing::ended
               : state->process.standing(now);
}

void upstream_registry::expect_dispatch(const std::string& id,
                                        std::uint64_t prompt_tokens,
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

void upstream_registry::record_dispatch(const std::string& id,
                                        std::uint64_t prompt_tokens,
                                        time_point now)
{
    expect_dispatch(id, prompt_tokens, now);
    const auto found = upstreams_.find(id);
    if (found != upstreams_.end())
        ++found->second.own_running;
}

void upstream_registry::record_completion(const std::string& id)
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end() || found->second.own_running == 0)
        return;
    --found->second.own_running;
    if (found->second.removed && found->second.own_running == 0)
        erase(id);
}

void upstream_registry::record_success(const std::string& id, time_point now)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        update_failure_rate(found->second, 0.0, now);
}

void upstream_registry::record_failure(const std::string& id, time_point now)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        update_failure_rate(found->second, 1.0, now);
}

void upstream_registry::record_connection_failure(const std::string& id,
                                                  time_point now)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.unreachable_until = now + unreachable_retry_delay;
}

void upstream_registry::record_connection_success(const std::string& id)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.unreachable_until = {};
}

void upstream_registry::record_leaving(const std::string& id)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        mark_leaving(found->second, std::nullopt);
}

void upstream_registry::record_misdirected(const std::string& id,
                                           time_point now)
{
    owners_.record_misdirected(id, now);
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        update_owner(found->second.record.address);
}

void upstream_registry::record_unverified(const ip_endpoint& address)
{
    owners_.record_unverified(address);
    update_owner(address);
}

std::vector<const upstream_state*>
upstream_registry::claimants(const ip_endpoint& address) const
{
    std::vector<const upstream_state*> found;
    for (const auto& id : owners_.claimants(address))
        if (const auto* state = find(id))
            found.push_back(state);
    return found;
}

void upstream_registry::update_failure_rate(upstream_state& upstream,
                                            double sample, time_point now) const
{
    const double rate = failure_rate_at(upstream, now);
    upstream.failure_rate = rate + failure_weight * (sample - rate);
    upstream.failure_rate_updated_at = now;
}

const upstream_state* upstream_registry::find(const std::string& id) const
{
    const auto found = upstreams_.find(id);
    return found == upstreams_.end() ? nullptr : &found->second;
}

const upstream_state*
upstream_registry::find_at(const ip_endpoint& address) const
{
    return find(owners_.owner(address));
}

std::vector<const upstream_state*>
upstream_registry::available(const std::string& service) const
{
    std::vector<const upstream_state*> result;
    for (const auto& [id, upstream] : upstreams_) {
        if (!upstream.leaving && !upstream.superseded &&
            upstream.record.service == service)
            result.push_back(&upstream);
    }
    return result;
}

service_totals upstream_registry::totals(const std::string& service,
                                         time_point now) const
{
    service_totals result;
    for (const auto* upstream : available(service)) {
        const auto load = estimate_load(*upstream, {}, now);
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

} // namespace cyclamenrun
