// The members of gateway_context that concern cold upstreams.

#include "gateway_context.hpp"
#include "log_event.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Time left by the clock of Unix time, which may have been stepped. */
milliseconds cold_left_since_start(const upstream_record& upstream,
                                   milliseconds cold_time)
{
    const auto end = milliseconds(upstream.started_ms) + cold_time;
    const auto unix_now = std::chrono::duration_cast<milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    return std::clamp(end - unix_now, milliseconds(0), cold_time);
}

void log_cold(const gateway_context& context, const std::string& upstream_id,
              const std::string& service, cold_source source)
{
    const auto now = context.reactor->now();
    const auto& cold = context.limits.cold();
    log_event(log_severity::info, log_event_name::upstream_cold,
              {{log_key::upstream, upstream_id},
               {log_key::service, service},
               {log_key::duration_ms, cold.cold_left(upstream_id, now)},
               {log_key::limit, cold.limit_of(upstream_id, now).value_or(-1)},
               {log_key::count, cold.divisor()},
               {log_key::kind, name_of(source)}});
}

milliseconds cold_time_of(const gateway_context& context,
                          const std::string& service)
{
    const auto* configured =
        context.routes ? context.routes->service(service) : nullptr;
    return configured != nullptr ? configured->cold_time : milliseconds(0);
}

} // namespace

void gateway_context::record_cold(const upstream_record& listed)
{
    const auto until = listed.cold_until.value_or(cold_deadline(
        cold_left_since_start(listed, cold_time_of(*this, listed.service)),
        reactor->now()));
    record_cold_until(listed, cold_source::listed, until);
}

void gateway_context::record_cold_until(const upstream_record& upstream,
                                        cold_source source, time_point until)
{
    const auto now = reactor->now();
    if (!limits.cold().record(upstream.id, upstream.service, source, until,
                              now))
        return;
    if (!upstreams.has_known(upstream.id))
        limits.cold().fill_new(upstream.id, now);
    log_cold(*this, upstream.id, upstream.service, source);
}

void gateway_context::record_cold_answer(const std::string& upstream_id,
                                         milliseconds left)
{
    const auto now = reactor->now();
    const auto* state = upstreams.find(upstream_id);
    if (state != nullptr &&
        limits.cold().record(upstream_id, state->record.service,
                             cold_source::answered, cold_deadline(left, now),
                             now))
        log_cold(*this, upstream_id, state->record.service,
                 cold_source::answered);
}

void gateway_context::presume_cold(const upstream_record& started,
                                   cold_source why)
{
    record_cold_until(
        started, why,
        cold_deadline(cold_time_of(*this, started.service), reactor->now()));
}

void gateway_context::update_cold_rates()
{
    if (!routes || !limits.cold().enabled())
        return;
    limits.cold().set_rates(routes->cold_rates(), reactor->now());
    // Records that state no time depend on that of their service.
    upstreams.for_each([this](const upstream_record& record) {
        if (!record.cold_until &&
            !upstreams.find(record.id)->monitor_only_until)
            record_cold(record);
    });
}

void gateway_context::remove_warm()
{
    for (const auto& id : limits.cold().remove_warm(reactor->now()))
        log_event(log_severity::info, log_event_name::upstream_warm,
                  {{log_key::upstream, id}});
}

} // namespace cyclamenrun
