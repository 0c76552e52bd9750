#ifndef CYCLAMENRUN_CHANGE_SENDER_HPP
#define CYCLAMENRUN_CHANGE_SENDER_HPP

#include "clock.hpp"
#include "operator.pb.h"
#include "rpc_error.hpp"

#include <functional>

namespace cyclamenrun
{

/** How a change_sender reaches an entry and passes time. */
struct change_sender_hooks {
    std::function<rpc_outcome<v1::ApplyChangeResponse>(
        const v1::ApplyChangeRequest&, time_point deadline)>
        apply;
    std::function<rpc_outcome<v1::FindChangeResponse>(
        const v1::FindChangeRequest&, time_point deadline)>
        find;
    clock_function now;
    std::function<void(milliseconds)> wait;
};

/**
 * An operator's side of one change: sends it until its outcome is known.
 *
 * Guards against an answer that is lost after the change came into force,
 * which would show as a failure of a change that took effect. The change's id
 * stays the same for all attempts: FindChange tells whether it is settled,
 * and a second record with the same id changes nothing.
 */
class change_sender
{
public:
    explicit change_sender(change_sender_hooks hooks);

    /**
     * Ends with `unknown` if it cannot be told by `deadline`. An error means
     * that the change was not made and will not be.
     */
    rpc_outcome<v1::ApplyChangeResponse> send(const v1::ChangeRecord& change,
                                              time_point deadline) const;

private:
    time_point attempt_deadline(time_point deadline) const;
    rpc_outcome<v1::ApplyChangeResponse>
    send_once(const v1::ChangeRecord& change, time_point deadline) const;
    bool find(const v1::ChangeRecord& change, time_point deadline,
              v1::ApplyChangeResponse& response) const;

    change_sender_hooks hooks_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CHANGE_SENDER_HPP
