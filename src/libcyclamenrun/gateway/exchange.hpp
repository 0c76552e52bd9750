#ifndef CYCLAMENRUN_EXCHANGE_HPP
#define CYCLAMENRUN_EXCHANGE_HPP

#include "answer_relay.hpp"
#include "attempt_history.hpp"
#include "gateway_context.hpp"
#include "generation_mover.hpp"
#include "http_session.hpp"
#include "load_probe.hpp"
#include "request_admission.hpp"
#include "request_profile.hpp"
#include "request_recorder.hpp"
#include "start_search.hpp"
#include "upstream_attempt.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

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
    /** Handles an upstream that leaves; `leaves_at` is empty if unknown. */
    void upstream_leaving(const std::string& upstream_id,
                          std::optional<time_point> leaves_at);

    const std::string& id() const { return facts_.id; }

private:
    // Choice of an upstream.
    void dispatch();
    /**
     * Data for a placement. The prompt or the memory is sent from this VM or
     * from the failure domain `from_domain`.
     */
    placement_request make_placement_request() const;
    placement_request
    make_placement_request(const std::string& from_domain) const;
    /** False once the request may have run or its answer has begun. */
    bool may_refuse() const;
    /** True if monitors must grant the start. */
    bool needs_start_grant() const;
    /** True if the service has engines and this gateway uses monitors. */
    bool uses_monitors() const;
    /**
     * Returns whether the request may be sent to an upstream now. Otherwise
     * refuses it: the lease on the configuration has expired, or upstreams have
     * crashed under the request.
     */
    bool may_send();
    /**
     * Refuses the request if all usable upstreams are at their limit. Returns
     * whether it did.
     */
    bool refuse_over_limit();
    void search_start();
    void start_found(const upstream_record& upstream);
    /** Queries a few engines for their load when no monitor responds. */
    void probe_loads();
    void dispatch_by_estimates();
    /** Chooses an upstream by load estimates. */
    std::optional<placed_upstream> place();
    void send(const upstream_record& upstream,
              const std::optional<continuation>& resume_from);
    std::string request_for(const upstream_record& upstream,
                            const std::optional<continuation>& resume_from);
    void choose_backup(const upstream_record& upstream);
    void release_attempt();

    // Events of an attempt.
    void handle_head(http_head&& head, const response_facts& facts);
    void handle_body(std::string_view bytes);
    void handle_complete();
    void record_upstream_success(const std::string& upstream_id);
    /** How likely the request is the cause if its upstream has crashed. */
    mark_strength suspicion() const;
    void handle_loss(attempt_loss loss);
    /** Sets the timeout for the start of the response. */
    void arm_response_timeout();
    void handle_response_timeout();
    bool awaits_response() const;
    attempt_history::circumstances circumstances() const;
    /** Retries or ends the request after its attempt has ended. */
    void continue_after(attempt_result result);
    attempt_step step_after(attempt_result result);
    request_recorder::attempt attempt_record();
    void record_attempt(std::string_view result, std::string_view next);
    void pause_if_caller_is_slow();

    // Continuation of a generation at another engine.
    std::shared_ptr<generation_mover> make_mover();
    void resume_at(const upstream_record& upstream, const continuation& from);
    bool resume_at_backup();
    bool resume_at_source();

    // End of the request.
    void deliver();
    /**
     * Refuses the request, or reports it lost if it may have run.
     * `time_to_room`: expected time until there is room, if known.
     */
    void refuse(gateway_refusal refusal,
                std::optional<milliseconds> time_to_room = std::nullopt);
    void cut(std::string_view reason);
    void expire();
    /** True if this process was awake for nine tenths of the attempt. */
    bool has_watched_attempt() const;
    void end(request_outcome outcome, unsigned status,
             std::string_view reason = {});
    request_summary summarize(request_outcome outcome, unsigned status,
                              std::string_view reason) const;

    gateway_context& context_;
    /** Keeps the exchange alive between attempts, until the answer is final. */
    std::shared_ptr<exchange> self_;
    caller_request request_;
    answer_relay answer_;
    request_recorder recorder_;
    std::shared_ptr<const gateway_routes> routes_;
    milliseconds configuration_age_{0}; ///< at the admission
    request_facts facts_;
    std::uint64_t fingerprint_ = 0;
    admitted_request admitted_;
    request_profile profile_;
    std::string service_;

    std::shared_ptr<upstream_attempt> attempt_;
    time_point attempt_began_{};
    duration missed_before_attempt_{0};       ///< by the loop, see awake_clock
    std::optional<time_point> first_part_at_; ///< of the attempt's response
    bool on_trial_ = false;          ///< run once more although it is poison
    std::vector<std::string> tried_; ///< upstream ids; the last is the latest
    attempt_history history_;
    bool over_ = false;

    std::shared_ptr<start_search> search_; ///< set while a start is awaited
    std::shared_ptr<load_probe> probe_;    ///< set during load queries
    std::shared_ptr<generation_mover> mover_;
    /** Engine that holds a backup of the current run. */
    std::optional<upstream_record> backup_;
    /** Memory from which the current attempt resumes. */
    std::optional<continuation> resume_from_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EXCHANGE_HPP
