#include "ended_run.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

bool lists(const engine_load& load, const std::string& request_id)
{
    return std::any_of(
        load.generations.begin(), load.generations.end(),
        [&](const resident_generation& each) { return each.id == request_id; });
}

} // namespace

std::string_view name_of(run_end how)
{
    switch (how) {
    case run_end::process_gone:
        return "process_gone";
    case run_end::host_silent:
        return "host_silent";
    case run_end::stopped:
        return "stopped";
    case run_end::not_running:
        return "not_running";
    }
    return "not_running";
}

ended_run::ended_run(continuation memory, upstream_record holder)
    : how_(run_end::stopped), memory_(std::move(memory)),
      holder_(std::move(holder))
{
}

std::optional<ended_run> ended_run::from_check(upstream_liveness found)
{
    if (found != upstream_liveness::crashed)
        return std::nullopt;
    return ended_run(run_end::process_gone);
}

std::optional<ended_run>
ended_run::from_order(const move_reply& reply, const upstream_record& source,
                      const upstream_record& destination)
{
    if (reply.handle.empty())
        return std::nullopt;
    const continuation memory{source.address, reply.handle};
    if (reply.result == move_reply::kind::copied)
        return ended_run(memory, destination);
    // The run was stopped before the copy was tried.
    if (reply.result == move_reply::kind::no_room)
        return ended_run(memory, source);
    return std::nullopt;
}

ended_run ended_run::from_stream_end(const continuation& kept,
                                     const upstream_record& source)
{
    return {kept, source};
}

std::optional<ended_run> ended_run::from_denial(const std::string& request_id,
                                                const engine_load* load)
{
    if (load != nullptr && lists(*load, request_id))
        return std::nullopt;
    return ended_run(run_end::not_running);
}

std::optional<ended_run> ended_run::from_report(const std::string& request_id,
                                                const dated_report& report,
                                                time_point lost_at)
{
    if (report.as_of < lost_at || lists(report.load, request_id))
        return std::nullopt;
    return ended_run(run_end::not_running);
}

} // namespace cyclamenrun
