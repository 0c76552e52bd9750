#ifndef CYCLAMENRUN_RELAY_HPP
#define CYCLAMENRUN_RELAY_HPP

#include "poison_admission.hpp"
#include "refusal.hpp"
#include "relay_action.hpp"
#include "relay_request.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Functions of the entry that a relay calls. */
struct relay_hooks {
    /**
     * Chooses an upstream that is not in `excluded`; `suspect`: the request
     * may crash the engine.
     */
    std::function<outcome<route_target>(
        const relay_request& request, const std::vector<std::string>& excluded,
        bool suspect, time_point now)>
        choose;
    /** Takes one retry from the team's budget, or refuses. */
    std::function<outcome<void>(const std::string& team, time_point now)>
        spend_retry;
    /** Asks before each dispatch, see admit_send(). */
    std::function<poison_admission(const suspected_work& work, solo_run& claim,
                                   time_point now)>
        admit;
    std::function<void(solo_run& claim)> end_solo;
    /** Why the work is refused; empty: it is not. */
    std::function<std::optional<poison_grounds>(const suspected_work& work,
                                                time_point now)>
        grounds;
    /** Reports that an agent was lost while it had this work. */
    std::function<void(const lost_run& run, const route_target& target,
                       time_point now)>
        agent_lost;
    /** Reports that an agent lost its engine while the engine ran this work. */
    std::function<void(const lost_run& run, time_point now)> engine_lost;
};

/** Limits of one relay. */
struct relay_settings {
    int max_attempts = 4; ///< dispatches of the request
    /**
     * How long the relay tries to reach a lost agent again. A frozen agent
     * holds answers that no other process has, so the window is longer than a
     * usual freeze.
     */
    milliseconds reattach_window{10'000};
    /** Pause between two tries to reach a lost agent. */
    milliseconds reattach_delay{200};
    /** Streams with invalid frames after which an attempt is abandoned. */
    int max_invalid_streams = 2;
    /** Limit for the text of an answer with delivery_mode::whole. */
    std::size_t max_buffered_bytes = std::size_t{4} << 20U;
};

/**
 * Brings one caller's request to exactly one outcome: the complete answer, or
 * a refusal that states correctly whether the work ran.
 *
 * A state machine without I/O: events are its input, actions its output. It
 * enforces the entry's guarantees. Tokens are delivered in order and from one
 * generation. Work is sent again only if it has not run, or if it is idempotent
 * and the caller has received no token. A refusal states no more than is known.
 */
class relay
{
public:
    relay(relay_request request, relay_settings settings, relay_hooks hooks);
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay();

    relay_actions start(time_point now);
    relay_actions on_frame(stream_number stream, const link::AgentFrame& frame,
                           time_point now);
    /** Handles a stream that ended without a final frame. */
    relay_actions on_stream_lost(stream_number stream,
                                 bool request_may_have_run, time_point now);
    relay_actions on_caller_disconnected(time_point now);
    /** Handles expired deadlines; to be called at next_event(). */
    relay_actions on_time(time_point now);
    /**
     * Extends the time in which the agent may be reached again: this process
     * could not react for `missed`; see awake_clock.
     */
    void record_missed(duration missed);

    bool done() const { return done_; }
    /** When on_time() is due next. */
    time_point next_event() const;
    const relay_request& request() const { return request_; }
    const route_target& target() const { return target_; }
    int attempts() const { return attempts_; }
    const std::optional<generation_id>& generation() const
    {
        return generation_;
    }

private:
    bool is_call() const { return request_.kind == link::WORK_KIND_CALL; }
    /** Whether the work may run again if an earlier attempt may have run. */
    bool may_run_again() const;
    std::string attempt_id() const;

    relay_actions dispatch(time_point now);
    /** Sends the work, which may be sent now. */
    relay_actions send(time_point now);
    relay_actions refuse_poison(time_point now);
    /** The current attempt, as it is held against the work. */
    lost_run lost_now(std::uint64_t loss, time_point now) const;
    void end_solo();
    relay_actions reattach(time_point now);
    relay_actions handle_lost_agent(time_point now);
    relay_actions try_elsewhere(const refusal& why, time_point now);
    relay_actions refuse(refusal why, time_point now);
    relay_actions abort_work(const refusal& why, time_point now);
    relay_actions handle_protocol_error(const std::string& detail,
                                        time_point now);

    relay_actions on_accepted(const link::Accepted& accepted, time_point now);
    relay_actions on_tokens(const link::Tokens& tokens, time_point now);
    relay_actions on_finished(const link::Finished& finished, time_point now);
    relay_actions on_answer(const link::CallAnswer& answer);
    relay_actions on_refused(const refusal& why, time_point now);
    relay_actions on_reattach_refused(const refusal& why, time_point now);

    open_stream open(const std::string& path, const std::string& frame);
    std::string dispatch_frame(time_point now) const;
    std::string resume_frame() const;
    send_message cancel_message() const;
    send_message acknowledge_message() const;

    relay_request request_;
    relay_settings settings_;
    relay_hooks hooks_;

    route_target target_;
    std::vector<std::string> excluded_; ///< upstreams that were tried
    std::optional<generation_id> generation_;
    std::vector<std::string> buffered_tokens_;
    std::size_t buffered_bytes_ = 0;
    std::uint64_t next_index_ = 0;
    int attempts_ = 0;
    int invalid_streams_ = 0;  ///< in this attempt
    stream_number stream_ = 0; ///< the last stream opened; 0: none
    bool stream_open_ = false;
    bool reattaching_ = false;
    bool token_delivered_ = false; ///< the caller has received a token
    bool may_have_run_ = false;    ///< in any attempt of this request
    bool suspect_ = false; ///< the whole request; it runs alone on its engine
    bool done_ = false;
    solo_run claim_;
    time_point sent_at_{};                     ///< the current attempt
    std::optional<time_point> first_token_at_; ///< of the current attempt
    std::optional<time_point> dispatch_at_;    ///< when a wait before it ends
    std::optional<time_point> reattach_at_;
    time_point reattach_deadline_; ///< extended by record_missed()
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_HPP
