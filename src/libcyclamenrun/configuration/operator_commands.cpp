#include "operator_commands.hpp"

#include "configuration_store.hpp"
#include "platform_log.hpp"

namespace cyclamenrun
{

operator_commands::operator_commands(platform_log& log,
                                     configuration_store& store,
                                     clock_function clock,
                                     submit_settings settings)
    : log_(log), store_(store), clock_(std::move(clock)), settings_(settings)
{
}

outcome<v1::ApplyChangeResponse>
operator_commands::apply_change(const v1::ApplyChangeRequest& request,
                                time_point deadline)
{
    if (!store_.ready())
        return tl::unexpected(
            not_run(refusal_reason::not_ready,
                    "this entry has not loaded a configuration yet",
                    milliseconds(1000)));
    if (changes_in_progress_.fetch_add(1) >= max_concurrent_changes) {
        changes_in_progress_.fetch_sub(1);
        return tl::unexpected(not_run(
            refusal_reason::queue_full,
            "too many changes in progress at this entry", milliseconds(1000)));
    }
    auto result = submit(request, deadline);
    changes_in_progress_.fetch_sub(1);
    return result;
}

outcome<v1::ApplyChangeResponse>
operator_commands::submit(const v1::ApplyChangeRequest& request,
                          time_point deadline)
{
    change_submitter submitter(request.change(), deadline, settings_);
    for (;;) {
        const auto progress = store_.progress(submitter.change());
        const auto step = submitter.next(progress, clock_());
        if (step == submit_step::done)
            return submitter.result();
        if (step == submit_step::append)
            submitter.on_append(log_.append(submitter.record()), clock_());
        else
            store_.wait_past(progress.revision, submitter.wake_at());
    }
}

} // namespace cyclamenrun
