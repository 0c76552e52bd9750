#ifndef CYCLAMENRUN_ATTEMPT_HISTORY_HPP
#define CYCLAMENRUN_ATTEMPT_HISTORY_HPP

#include "attempt_policy.hpp"
#include "gateway_refusal.hpp"

#include <optional>

namespace cyclamenrun
{

/**
 * The attempts of one request, and what may be said of it: whether it may have
 * run, whether it may run again, and which final answer is truthful. Each
 * attempt is recorded when it begins and when it ends, whether it begins a new
 * run or continues one, so that no other part counts runs. Does no I/O.
 */
class attempt_history
{
public:
    /** Rules of the request's route. */
    struct rules {
        bool idempotent = false;   ///< the request may run again
        unsigned max_attempts = 1; ///< upstreams that may run it
    };
    /** State of the request that others know. */
    struct circumstances {
        bool is_past_deadline = false;
        bool answer_begun = false;      ///< a part was sent to the caller
        bool answer_can_resume = false; ///< a new run may continue it
    };

    void set_rules(const rules& route) { rules_ = route; }

    /** Records that the request is sent to an upstream. */
    void begin_attempt();
    /**
     * Records the end of the current attempt. `lost` also if its run continues
     * at another engine; empty: its answer is delivered.
     */
    void end_attempt(std::optional<attempt_result> result);

    /** All attempts, the current one included. */
    unsigned sends() const { return sends_; }
    /**
     * False only as long as each attempt was proved not to have run. The
     * current attempt may run.
     */
    bool may_have_run() const { return in_flight_ || runs_ > 0; }

    /**
     * False only as long as each attempt was proved not to have reached its
     * upstream. The next one is a repeat otherwise.
     */
    bool may_have_arrived() const { return in_flight_ || arrived_; }

    /** Data for the decisions on the current or the last attempt. */
    attempt_state state(const circumstances& now) const;
    /** Next step after the last attempt; see next_step(). */
    attempt_step step_after(attempt_result result,
                            const circumstances& now) const;
    /**
     * Returns the refusal that is truthful: `wanted`, or that the request may
     * have run if `wanted` denies it in vain.
     */
    gateway_refusal truthful(gateway_refusal wanted) const;

private:
    rules rules_;
    unsigned runs_ = 0; ///< ended attempts that may have run
    unsigned sends_ = 0;
    bool in_flight_ = false;
    bool arrived_ = false; ///< an ended attempt may have reached its upstream
};

/**
 * Replaces the retry after a failed attempt when no retry is possible, for
 * example since the retry budget is exhausted.
 */
attempt_step step_without_retry(attempt_result result);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ATTEMPT_HISTORY_HPP
