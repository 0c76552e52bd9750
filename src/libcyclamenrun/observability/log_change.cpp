#include "log_change.hpp"

#include "log_event.hpp"

namespace cyclamenrun
{

namespace
{

void log_one(log_severity severity, log_event_name event,
             const v1::ChangeRecord& change, std::uint64_t revision)
{
    log_event(severity, event,
              {{log_key::change_id, change.change_id()},
               {log_key::kind, v1::ResourceKind_Name(change.kind())},
               {log_key::name, change.name()},
               {log_key::revision, revision}});
}

} // namespace

void log_change(const v1::ChangeRecord& change,
                const outcome<v1::ApplyChangeResponse>& response)
{
    if (!response) {
        log_event(log_severity::info, log_event_name::change_refused,
                  {{log_key::change_id, change.change_id()},
                   {log_key::reason, response.error().reason}});
        return;
    }
    if (response->has_accepted())
        log_one(log_severity::info, log_event_name::change_accepted, change,
                response->accepted().revision());
    else if (response->has_conflict())
        log_one(log_severity::info, log_event_name::change_conflicted, change,
                response->conflict().current_revision());
    else if (response->has_invalid())
        log_one(log_severity::info, log_event_name::change_invalid, change, 0);
    else
        log_one(log_severity::warning, log_event_name::change_uncertain, change,
                0);
}

} // namespace cyclamenrun
