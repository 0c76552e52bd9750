#ifndef CYCLAMENRUN_REQUEST_CONCLUSION_HPP
#define CYCLAMENRUN_REQUEST_CONCLUSION_HPP

#include "answer_relay.hpp"
#include "attempt_history.hpp"
#include "gateway_context.hpp"
#include "repeat_permit.hpp"
#include "request_recorder.hpp"
#include "served_request.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/**
 * Records the attempts of one request, decides what follows from their results,
 * and gives the caller the one final answer, which is truthful about whether
 * the request may have run.
 */
class request_conclusion
{
public:
    /**
     * `ended` is called once, after the final answer, and may destroy this
     * object.
     */
    request_conclusion(gateway_context& context, served_request& served,
                       std::shared_ptr<answer_writer> writer,
                       std::function<void()> ended);

    answer_relay& answer() { return answer_; }
    const answer_relay& answer() const { return answer_; }
    request_recorder& recorder() { return recorder_; }
    const attempt_history& history() const { return history_; }
    /** True once the final answer was given or the caller has left. */
    bool over() const { return over_; }
    /** False once the request may have run or its answer has begun. */
    bool may_refuse() const;

    /** Records the admission, which has set the route. */
    void admit();

    // Attempts.

    void begin_attempt(const upstream_record& upstream);
    /** Empty: its answer is delivered. See attempt_history::end_attempt(). */
    void end_attempt(std::optional<attempt_result> result);
    time_point attempt_began() const { return attempt_began_; }
    /** Result of a complete response; empty: it is to be delivered. */
    std::optional<attempt_result> classify_complete() const;
    /** Time without a response after which the attempt ends; empty: none. */
    std::optional<milliseconds> response_timeout() const;
    /** Next step after the last attempt; a trial has none but its end. */
    attempt_step step_after(attempt_result result, bool on_trial);
    request_recorder::attempt attempt_record() const;
    void record_attempt(std::string_view result, std::string_view next);

    // Repeats: sends of a request that may have arrived before.

    /**
     * Reserves the budget for the next send if that is a repeat. False: it must
     * not be sent.
     */
    bool reserve_repeat();
    /** Spends the budget for the next send, as reserve_repeat() reserves it. */
    bool spend_repeat();
    /** Gives up the next send. */
    void release_repeat() { permit_.release(); }
    /** Spends the budget for a send that follows at once, if not yet spent. */
    bool draw_send();

    // End of the request.

    /** Ends a request whose attempt has ended and that is not retried. */
    void conclude(attempt_step step);
    void deliver();
    /** Ends an answer that was relayed as it arrived. */
    void finish();
    /**
     * Refuses the request, or reports it lost if it may have run.
     * `time_to_room`: expected time until there is room, if known.
     */
    void refuse(gateway_refusal refusal,
                std::optional<milliseconds> time_to_room = std::nullopt);
    /**
     * Refuses the request if all upstreams rest or are at their limit. Returns
     * whether it did.
     */
    bool refuse_without_room();
    /**
     * Refuses the request if evacuations leave its service without an upstream.
     * Returns whether it did.
     */
    bool refuse_if_evacuated();
    /** Refuses a request that would crash its upstream. */
    void refuse_poison();
    void cut(std::string_view reason);
    /** Ends a request whose deadline has passed. */
    void expire();
    /** True if this process was awake for nine tenths of the attempt. */
    bool has_watched_attempt() const;
    void caller_left();

private:
    attempt_history::circumstances circumstances() const;
    /** Time after which the caller of a refused request should return. */
    milliseconds retry_delay(gateway_refusal refusal,
                             std::optional<milliseconds> time_to_room);
    void end(request_outcome outcome, unsigned status,
             std::string_view reason = {});
    request_summary summarize(request_outcome outcome, unsigned status,
                              std::string_view reason) const;

    gateway_context& context_;
    served_request& served_;
    std::function<void()> ended_;
    answer_relay answer_;
    request_recorder recorder_;
    attempt_history history_;
    repeat_permit permit_;
    time_point attempt_began_{};
    std::string attempt_version_;       ///< of the upstream's software
    duration missed_before_attempt_{0}; ///< by the loop, see awake_clock
    bool over_ = false;
};

/** Returns the time from `began` to `now`. */
inline milliseconds time_since(time_point began, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - began);
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_CONCLUSION_HPP
