#include "change_sender.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr milliseconds attempt_timeout{10000};
constexpr milliseconds retry_interval{500};

bool is_final(const rpc_outcome<v1::ApplyChangeResponse>& answer)
{
    if (!answer)
        return !answer.error().may_have_run;
    return answer->outcome_case() != v1::ApplyChangeResponse::kUnknown &&
           answer->outcome_case() != v1::ApplyChangeResponse::OUTCOME_NOT_SET;
}

v1::ApplyChangeResponse unknown_response(const v1::ChangeRecord& change)
{
    v1::ApplyChangeResponse response;
    response.mutable_unknown()->set_change_id(change.change_id());
    return response;
}

} // namespace

change_sender::change_sender(change_sender_hooks hooks)
    : hooks_(std::move(hooks))
{
}

rpc_outcome<v1::ApplyChangeResponse>
change_sender::send(const v1::ChangeRecord& change, time_point deadline) const
{
    auto answer = send_once(change, deadline);
    if (is_final(answer))
        return answer;
    // From here on an error of a later attempt is not final: the change of an
    // earlier attempt may be on the log.
    while (hooks_.now() < deadline) {
        v1::ApplyChangeResponse found;
        if (find(change, deadline, found))
            return found;
        answer = send_once(change, deadline);
        if (answer && is_final(answer))
            return answer;
        hooks_.wait(
            std::min(retry_interval, time_left(deadline, hooks_.now())));
    }
    return unknown_response(change);
}

time_point change_sender::attempt_deadline(time_point deadline) const
{
    return std::min<time_point>(deadline, hooks_.now() + attempt_timeout);
}

rpc_outcome<v1::ApplyChangeResponse>
change_sender::send_once(const v1::ChangeRecord& change,
                         time_point deadline) const
{
    v1::ApplyChangeRequest request;
    *request.mutable_change() = change;
    return hooks_.apply(request, attempt_deadline(deadline));
}

bool change_sender::find(const v1::ChangeRecord& change, time_point deadline,
                         v1::ApplyChangeResponse& response) const
{
    v1::FindChangeRequest request;
    request.set_change_id(change.change_id());
    const auto answer = hooks_.find(request, attempt_deadline(deadline));
    // A change that was not accepted is sent again, since only the answer to
    // ApplyChange contains the reason.
    if (!answer || !answer->found() || !answer->outcome().accepted())
        return false;
    response.mutable_accepted()->set_revision(answer->outcome().revision());
    return true;
}

} // namespace cyclamenrun
