#ifndef CYCLAMENRUN_EXCHANGE_HPP
#define CYCLAMENRUN_EXCHANGE_HPP

#include "answer_relay.hpp"
#include "attempt_policy.hpp"
#include "gateway_context.hpp"
#include "generation_mover.hpp"
#include "http_session.hpp"
#include "load_probe.hpp"
#include "request_admission.hpp"
#include "request_notes.hpp"
#include "request_profile.hpp"
#include "start_search.hpp"
#include "upstream_attempt.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * One request of a caller from its admission to its final answer: which
 * upstreams it is sent to, whether their responses make up an answer, and,
 * for a generation, how it goes on at another engine when its own leaves.
 *
 * Keeps itself alive until the answer is final. The caller's side must call
 * caller_left() when the caller goes, and nothing after it.
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
    void caller_left();
    /** An upstream leaves; at an unknown time if none is given. */
    void upstream_leaving(const std::string& upstream_id,
                          std::optional<time_point> leaves_at);

    const std::string& id() const { return facts_.id; }

private:
    // Where it runs.
    void dispatch();
    /** What an upstream must have for it, nearest to this VM or elsewhere. */
    placement_request needs() const;
    placement_request needs(const std::string& from_domain) const;
    /** What has run, or goes on, has no better answer than its own. */
    bool may_be_refused() const;
    /** Monitors beside the engines say where it may start. */
    bool asks_to_start() const;
    /** It goes to engines, beside which there may be monitors. */
    bool has_monitors() const;
    /** The configuration may be out of date: nothing more may run by it. */
    void refuse_without_lease();
    void search_start();
    void start_found(const upstream_record& upstream);
    /** No monitor is heard: a few engines are asked themselves. */
    void probe_loads();
    void dispatch_by_beliefs();
    std::optional<placed_upstream> place();
    void send(const upstream_record& upstream,
              const std::optional<continuation>& goes_on);
    std::string request_for(const upstream_record& upstream,
                            const std::optional<continuation>& goes_on);
    void choose_backup(const upstream_record& upstream);
    void settle();

    // What an attempt brings.
    void take_head(http_head&& head, const response_facts& facts);
    void take_body(std::string_view bytes);
    void take_complete();
    void take_lost(attempt_loss loss);
    /** Its upstream should have begun to answer by now. */
    void watch_for_silence();
    void take_silence();
    bool is_silent() const;
    attempt_state state_now() const;
    void end_attempt(attempt_result result);
    attempt_step step_after(attempt_result result);
    request_notes::attempt attempt_now();
    void note_attempt(std::string_view result, std::string_view next);
    void hold_back_if_slow();

    // A generation that goes on elsewhere.
    std::shared_ptr<generation_mover> make_mover();
    void go_on_at(const upstream_record& upstream, const continuation& from);
    bool go_on_at_backup();
    bool go_on_at_source();

    // How it ends.
    void deliver();
    /** `room_in`: when there will be room again, if that is known. */
    void refuse(gateway_refusal refusal,
                std::optional<milliseconds> room_in = std::nullopt);
    void cut(std::string_view reason);
    void expire();
    void end(request_outcome outcome, unsigned status,
             std::string_view reason = {});
    request_report report(request_outcome outcome, unsigned status,
                          std::string_view reason) const;

    gateway_context& context_;
    /** Until the answer is final: between attempts nothing else holds it. */
    std::shared_ptr<exchange> self_;
    caller_request request_;
    answer_relay answer_;
    request_notes notes_;
    std::shared_ptr<const gateway_routes> routes_;
    milliseconds configuration_age_{0}; ///< at its admission
    request_facts facts_;
    admitted_request admitted_;
    request_profile profile_;
    std::string service_;

    std::shared_ptr<upstream_attempt> attempt_;
    time_point attempt_began_{};
    std::vector<std::string> tried_;
    unsigned runs_ = 0;
    unsigned sends_ = 0;
    bool over_ = false;

    std::shared_ptr<start_search> search_; ///< while it waits for a start
    std::shared_ptr<load_probe> probe_;    ///< while engines tell their loads
    std::shared_ptr<generation_mover> mover_;
    /** Engine that keeps a copy of the run at hand as it grows. */
    std::optional<upstream_record> backup_;
    /** The attempt at hand goes on from memory that lies at an engine. */
    std::optional<continuation> goes_on_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EXCHANGE_HPP
