#include "exchange.hpp"

#include <algorithm>
#include <utility>

// The service and the software version of a request: what continues a stream
// must have those of its first event, in this request or in those that resume
// it.

namespace cyclamenrun
{

bool exchange::resumes_stream() const
{
    return served_.admitted.route->shape == answer_shape::event_stream &&
           (served_.facts.last_event_id || !served_.facts.resumes.empty());
}

void exchange::set_service(const std::string& service)
{
    served_.service = service;
    served_.profile.set_service(service);
    context_.budget.record_request(service, boot_now());
}

void exchange::find_origin()
{
    context_.origins.find(
        served_.facts.resumes, context_.reactor->now(),
        [weak = weak_from_this()](const std::optional<stream_origin>& known) {
            const auto self = weak.lock();
            if (self && !self->conclusion_.over())
                self->handle_origin(known);
        });
}

void exchange::handle_origin(const std::optional<stream_origin>& known)
{
    if (known)
        continue_at(*known);
    else if (only_origin())
        confirm_only_origin();
    else
        conclusion_.refuse(gateway_refusal::version_unknown);
}

void exchange::confirm_only_origin()
{
    context_.confirm_directory_view([weak = weak_from_this()](bool confirmed) {
        const auto self = weak.lock();
        if (!self || self->conclusion_.over())
            return;
        const auto origin = confirmed ? self->only_origin() : std::nullopt;
        if (origin)
            self->continue_at(*origin);
        else
            self->conclusion_.refuse(gateway_refusal::version_unknown);
    });
}

void exchange::continue_at(const stream_origin& origin)
{
    const auto& services = served_.admitted.route->services;
    const bool is_routed =
        std::any_of(services.begin(), services.end(), [&](const auto& each) {
            return each.service == origin.service;
        });
    if (!is_routed) {
        conclusion_.refuse(gateway_refusal::version_gone);
        return;
    }
    served_.version = origin.version;
    set_service(origin.service);
    dispatch();
}

std::optional<stream_origin> exchange::only_origin() const
{
    const auto& route = *served_.admitted.route;
    if (route.services.size() != 1)
        return std::nullopt;
    context_.record_versions();
    // No stream of this route that its caller still resumes is older.
    const auto& service = route.services.front().service;
    const auto version = context_.versions.only_version(
        service, route.timeout, context_.reactor->now());
    if (!version)
        return std::nullopt;
    return stream_origin{service, *version};
}

void exchange::fix_version()
{
    const auto& route = *served_.admitted.route;
    // A version that was unknown may have been listed since.
    const bool is_known = served_.version && !served_.version->empty();
    if (is_known || !attempt_ || route.shape != answer_shape::event_stream)
        return;
    const auto version = context_.version_of(attempt_->upstream());
    if (std::exchange(served_.version, version) == version)
        return;
    record_origin();
    if (!version.empty() && context_.should_confirm(attempt_->upstream()))
        confirm_version();
}

void exchange::record_origin()
{
    if (served_.admitted.route->resumable)
        context_.origins.record(served_.facts.id,
                                {served_.service, *served_.version},
                                context_.reactor->now());
}

void exchange::confirm_version()
{
    context_.confirm_process(
        attempt_->upstream(),
        [weak = weak_from_this(), upstream = attempt_->upstream()] {
            const auto self = weak.lock();
            if (!self || !self->context_.version_of(upstream).empty())
                return;
            self->served_.version = std::string();
            self->record_origin();
        });
}

bool exchange::send(const upstream_record& upstream,
                    const std::optional<continuation>& resume_from)
{
    const bool needs_version = served_.version && !served_.version->empty();
    if (!needs_version || !context_.should_confirm(upstream))
        return send_now(upstream, resume_from);
    context_.confirm_process(
        upstream, [weak = weak_from_this(), upstream, resume_from] {
            const auto self = weak.lock();
            if (self && !self->conclusion_.over() && !self->attempt_)
                self->send_confirmed(upstream, resume_from);
        });
    return true;
}

void exchange::send_confirmed(const upstream_record& upstream,
                              const std::optional<continuation>& resume_from)
{
    const auto standing =
        context_.upstreams.standing(upstream, context_.reactor->now());
    const bool is_listed = standing == process_standing::confirmed ||
                           standing == process_standing::presumed;
    if (is_listed && !context_.choice.is_evacuated(upstream)) {
        send_now(upstream, resume_from);
        return;
    }
    end_start(upstream);
    context_.upstreams.record_connection_failure(upstream.id,
                                                 context_.reactor->now());
    conclusion_.begin_attempt(upstream);
    conclusion_.end_attempt(attempt_result::not_sent);
    continue_after(attempt_result::not_sent);
}

bool exchange::refuse_without_version()
{
    if (!served_.version ||
        context_.choice.any_fits(served_.service, served_.tried,
                                 served_.version, context_.reactor->now()))
        return false;
    conclusion_.refuse(gateway_refusal::version_gone);
    return true;
}

} // namespace cyclamenrun
