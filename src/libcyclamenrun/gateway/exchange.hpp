#ifndef CYCLAMENRUN_EXCHANGE_HPP
#define CYCLAMENRUN_EXCHANGE_HPP

#include "gateway_context.hpp"
#include "generation_continuation.hpp"
#include "http_session.hpp"
#include "poison_permit.hpp"
#include "request_conclusion.hpp"
#include "served_request.hpp"
#include "upstream_attempt.hpp"
#include "upstream_search.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Serves one request of a caller from its admission to its final answer.
 * Chooses upstreams, retries failed attempts, relays the response, and moves a
 * generation to another engine when its engine leaves.
 *
 * Keeps itself alive until the answer is final. The owner of the caller's
 * connection must call on_caller_disconnected() when the caller disconnects,
 * and no member after that.
 */
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(gateway_context& context, caller_request request,
             std::shared_ptr<answer_writer> writer);
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange();

    void start();
    void on_caller_disconnected();
    /** Ends a request that still runs when its process is about to exit. */
    void end_at_exit();
    /** Handles an upstream that leaves; `leaves_at` is empty if unknown. */
    void upstream_leaving(const std::string& upstream_id,
                          std::optional<time_point> leaves_at);

    const std::string& id() const { return served_.facts.id; }
    /** The evacuation of a failure domain has begun. */
    void domain_evacuated();
    /**
     * Ends a request that was convicted and has no answer yet: it would crash
     * its upstream.
     */
    void end_if_poison();
    /** Memory of its generation at its engine; 0 before its first event. */
    std::uint64_t memory_tokens() const
    {
        return conclusion_.answer().begun() ? continuation_->memory_tokens()
                                            : 0;
    }

private:
    /**
     * True if this process exits before the answer can end: another gateway can
     * serve the request.
     */
    bool outlasts_process() const;
    upstream_search::hooks search_hooks();
    generation_continuation::hooks continuation_hooks();

    // The software version of the request's stream.
    /** True if the caller has events of the stream already. */
    bool resumes_stream() const;
    /** Finds out where the stream began, then dispatches the request. */
    void find_origin();
    void handle_origin(const std::optional<stream_origin>& known);
    /**
     * The only place where the stream can have begun, if there is one, as far
     * as this process has received the directory's records.
     */
    std::optional<stream_origin> only_origin() const;
    /** Goes on at that place once no record can be missing, or refuses. */
    void confirm_only_origin();
    /** Sends the request to where the stream began, if its route allows. */
    void continue_at(const stream_origin& origin);
    /** Fixes the stream's version at its first event. */
    void fix_version();
    /** Takes the version back if another process than the listed one runs. */
    void confirm_version();
    void record_origin();
    /** Refuses the request if no other upstream may continue its stream. */
    bool refuse_without_version();

    // Choice of an upstream.
    void set_service(const std::string& service);
    void dispatch();
    /**
     * Returns whether the request may be sent to an upstream now. Otherwise
     * refuses it: the lease on the configuration has expired, this process
     * exits before the answer can end, or upstreams have crashed under the
     * request.
     */
    bool may_send();
    /** Begins the dispatch again after `poison_wait`. */
    void dispatch_later();
    /**
     * Sends the request, or ends it if the budget does not allow the repeat or
     * the upstream's version does not fit. Before a request that needs one
     * version, the upstream's process is asked for its start unless it has just
     * named it. Returns false if it ended, which may destroy this object.
     */
    bool send(const upstream_record& upstream,
              const std::optional<continuation>& resume_from);
    bool send_now(const upstream_record& upstream,
                  const std::optional<continuation>& resume_from);
    /**
     * Sends the request, or goes on as if no connection could be made. Called
     * once the upstream was asked for the start of its process.
     */
    void send_confirmed(const upstream_record& upstream,
                        const std::optional<continuation>& resume_from);
    std::string request_for(const upstream_record& upstream,
                            const std::optional<continuation>& resume_from);
    void release_attempt();
    /** Tells the engine's monitor that the start it granted is not used. */
    void end_start(const upstream_record& upstream);
    /** Ends the attempt as one that may have run. */
    void drop_attempt();

    // Events of an attempt.
    void handle_head(http_head&& head, const response_facts& facts);
    void handle_body(std::string_view bytes);
    /** Counts the events of a part for the monitor of their engine. */
    void record_events(const answer_relay::progress& progress) const;
    void handle_response_end(receipt_end how);
    /** Finds out whether the sender of a response has crashed. */
    void check_sender();
    /** Ends the attempt after its response, as far as that is whole. */
    void settle_response();
    void handle_complete();
    void handle_loss(attempt_loss loss);
    /** Goes on once it is known whether the upstream has crashed. */
    void await_crash_check(const upstream_record& upstream);
    void continue_after_loss(const upstream_record& upstream,
                             attempt_result result, upstream_liveness found);
    /** Sets the timeout for the start of the response. */
    void arm_response_timeout();
    void handle_response_timeout();
    bool awaits_response() const;
    /** Retries or ends the request after its attempt has ended. */
    void continue_after(attempt_result result);
    void pause_if_caller_is_slow();
    /** Ends an attempt whose response can't be passed on. */
    void handle_event_problem(event_problem problem);
    /**
     * Counts what is held of the response. Returns false if that ended the
     * attempt or the answer.
     */
    bool count_response();
    /** Records that a response was dropped because of a bound. */
    void record_rejected_response(attempt_loss loss, const std::string& id);

    // End of the request.
    /**
     * Refuses a request that would outlast the process, if it has not run.
     * Returns whether it did.
     */
    bool refuse_if_stopping();
    void expire();
    /** Releases all that the request uses, after its final answer. */
    void end();

    gateway_context& context_;
    /** Keeps the exchange alive between attempts, until the answer is final. */
    std::shared_ptr<exchange> self_;
    served_request served_;
    request_conclusion conclusion_;
    poison_permit permit_;
    std::shared_ptr<upstream_search> search_; ///< null until the admission
    std::unique_ptr<generation_continuation> continuation_; ///< as search_
    std::shared_ptr<upstream_attempt> attempt_;
    std::shared_ptr<input_account> account_; ///< of the caller's connection
    held_bytes response_held_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EXCHANGE_HPP
