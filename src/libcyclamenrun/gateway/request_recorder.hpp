#ifndef CYCLAMENRUN_REQUEST_RECORDER_HPP
#define CYCLAMENRUN_REQUEST_RECORDER_HPP

#include "answer_relay.hpp"
#include "generation_mover.hpp"
#include "poison_register.hpp"
#include "request_admission.hpp"
#include "request_summary.hpp"
#include "request_trace.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Records the decisions on one request in its trace and in the metrics. */
class request_recorder
{
public:
    explicit request_recorder(exported_metrics& metrics) : metrics_(metrics) {}

    /** Logs each decision on the request as it is made. */
    void follow(const std::string& request_id) { trace_.follow(request_id); }

    void admitted(const admitted_request& request, std::uint64_t revision,
                  milliseconds configuration_age, milliseconds time_left,
                  const request_facts& facts, std::uint64_t fingerprint);
    void placed(const placed_upstream& upstream);
    /**
     * One of the `requested` engines granted the start; `took` is the time that
     * the request waited for the grant.
     */
    void start_found(const std::string& service, const std::string& upstream,
                     std::size_t requested, milliseconds took);
    /** No monitor of the requested engines responded. */
    void start_unanswered(std::size_t requested);
    /** Most of the requested engines grant other teams' requests first. */
    void start_passed_over(std::size_t requested);

    /**
     * All usable upstreams are at their limit. `upstream`: the one that has
     * room first; `gateways` share its limit.
     */
    void over_limit(const std::string& upstream, std::optional<double> limit,
                    std::size_t gateways);

    /**
     * The request, or a part of its prompt with this id, has crashed upstreams
     * and may run again after that time.
     */
    void poison_refused(const poison_grounds& why, const std::string& part_id,
                        milliseconds to_trial);

    /** An attempt at an upstream that has ended. */
    struct attempt {
        std::string service;
        std::string upstream;
        std::string version; ///< of the upstream's software
        unsigned number = 0; ///< from 1
        unsigned status = 0;
        milliseconds took{0};
        double retries_left = 0;
    };
    /** The request is sent alone, since upstreams were lost under it. */
    void sent_solo(const std::string& service, bool on_trial);
    /** The request is sent to a cold upstream. */
    void sent_cold(const std::string& service, bool has_room);
    /** The request is sent once more, to continue its run or to run again. */
    void repeated(const std::string& service, bool continues);
    /** `result`: of the attempt; `next`: step that follows. */
    void attempt_ended(const attempt& ended, std::string_view result,
                       std::string_view next);

    /**
     * Records a part of the answer if it was late. `events`: number of events
     * relayed so far.
     */
    void record_late_part(const answer_relay::progress& progress,
                          const std::string& upstream, std::uint64_t events);
    /** No part of the answer arrived within the route's objective. */
    void record_missed_objective() { trace_.mark_late(); }

    void backed_up(const std::string& service, const std::string& upstream);
    void move_step_taken(move_step step, const std::string& upstream);
    /** Without a failure the generation continues at `to`. */
    void move_ended(const std::string& service, const std::string& from,
                    const std::string& to, std::optional<move_failure> failure);
    /** `end`: how the end of a lost run became known; empty: it did not. */
    void lost_run_ended(const std::string& service, std::optional<run_end> end);
    void resumed_from_backup(const std::string& service,
                             const std::string& upstream);

    void ended(const std::string& request_id, const request_summary& summary);

private:
    exported_metrics& metrics_;
    request_trace trace_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_RECORDER_HPP
