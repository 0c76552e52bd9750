#ifndef CYCLAMENRUN_RELAY_HPP
#define CYCLAMENRUN_RELAY_HPP

#include "poison_register.hpp"
#include "refusal.hpp"
#include "relay_action.hpp"
#include "relay_request.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** What a relay asks of the entry it works in. */
struct relay_hooks {
    /** An upstream for the request, none of `excluded`. */
    std::function<outcome<route_target>(
        const relay_request& request, const std::vector<std::string>& excluded,
        bool suspect, time_point now)>
        choose;
    /** Whether the team may have one more attempt made. */
    std::function<outcome<void>(const std::string& team, time_point now)>
        spend_retry;
    std::function<poison_verdict(std::uint64_t fingerprint, time_point now)>
        verdict;
    /** An agent was lost with this work on it. */
    std::function<void(std::uint64_t fingerprint, const route_target& target,
                       time_point now)>
        agent_lost;
    /** An engine was lost with this work on it, as its agent tells. */
    std::function<void(std::uint64_t fingerprint, std::uint64_t loss,
                       time_point now)>
        engine_lost;
};

/** Bounds of one relay. */
struct relay_settings {
    int max_attempts = 4;
    /**
     * How long a lost agent may take to be reached again. A frozen one holds
     * answers that nobody else has, so this outlasts a usual freeze.
     */
    milliseconds reattach_window{10'000};
    milliseconds reattach_pause{200};
    /** Streams of one attempt given up for frames that can't be right. */
    int max_broken_streams = 2;
    std::size_t max_whole_bytes = std::size_t{4} << 20U;
};

/**
 * Brings one caller's request to its one outcome: the complete answer, or a
 * refusal that says truthfully whether the work ran.
 *
 * A state machine without I/O: events go in, actions come out. It holds the
 * promises at the entry's side: tokens go on in order and from one
 * generation, work is sent again only if it has not run or nobody has seen it
 * and it may repeat, and what is said of it follows from what is known.
 */
class relay
{
public:
    relay(relay_request request, relay_settings settings, relay_hooks hooks);

    relay_actions start(time_point now);
    relay_actions on_frame(stream_number stream, const link::AgentFrame& frame,
                           time_point now);
    /** The stream ended without a final frame. */
    relay_actions on_stream_lost(stream_number stream,
                                 bool request_may_have_left, time_point now);
    relay_actions on_caller_gone(time_point now);
    /** To be called at next_event(). */
    relay_actions on_time(time_point now);

    bool done() const { return done_; }
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
    bool may_run_again() const;
    std::string attempt_id() const;

    relay_actions dispatch(time_point now);
    relay_actions reattach(time_point now);
    relay_actions lost_agent(time_point now);
    relay_actions try_elsewhere(const refusal& why, time_point now);
    relay_actions refuse(refusal why, time_point now);
    relay_actions give_up(const refusal& why, time_point now);
    relay_actions fail_closed(const std::string& detail, time_point now);

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
    std::vector<std::string> excluded_;
    std::optional<generation_id> generation_;
    std::vector<std::string> whole_;
    std::size_t whole_bytes_ = 0;
    std::uint64_t next_index_ = 0;
    int attempts_ = 0;
    int broken_streams_ = 0;   // of this attempt
    stream_number stream_ = 0; // the last one opened
    bool stream_open_ = false;
    bool reattaching_ = false;
    bool seen_ = false;         // the caller has been given a token
    bool may_have_run_ = false; // some attempt of this request
    bool suspect_ = false;
    bool done_ = false;
    std::optional<time_point> reattach_at_;
    time_point reattach_deadline_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RELAY_HPP
