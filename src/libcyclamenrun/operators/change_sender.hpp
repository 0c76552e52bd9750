#ifndef CYCLAMENRUN_CHANGE_SENDER_HPP
#define CYCLAMENRUN_CHANGE_SENDER_HPP

#include "clock.hpp"
#include "operator.pb.h"
#include "rpc_error.hpp"

#include <functional>

namespace cyclamenrun
{

/**
 * Functions by which a change_sender calls an entry, reads the clock and waits.
 */
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
 * Sends an operator's change to an entry until its outcome is known.
 *
 * Guards against a lost answer, after which a change that took effect would be
 * reported as failed. All attempts have the same change id: FindChange returns
 * the outcome if there is one, and a second record with the same id has no
 * effect.
 */
class change_sender
{
public:
    explicit change_sender(change_sender_hooks hooks);

    /**
     * Returns `unknown` if the outcome is not known by `deadline`. An error
     * means that the change has not taken effect and never will.
     */
    rpc_outcome<v1::ApplyChangeResponse> send(const v1::ChangeRecord& change,
                                              time_point deadline) const;

private:
    time_point attempt_deadline(time_point deadline) const;
    rpc_outcome<v1::ApplyChangeResponse>
    send_once(const v1::ChangeRecord& change, time_point deadline) const;
    /** Sets `response` and returns true if the change was accepted. */
    bool find(const v1::ChangeRecord& change, time_point deadline,
              v1::ApplyChangeResponse& response) const;

    change_sender_hooks hooks_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CHANGE_SENDER_HPP
