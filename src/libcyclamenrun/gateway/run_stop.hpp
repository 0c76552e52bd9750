#ifndef CYCLAMENRUN_RUN_STOP_HPP
#define CYCLAMENRUN_RUN_STOP_HPP

#include "ended_run.hpp"
#include "gateway_context.hpp"
#include "generation_move.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenrun
{

/**
 * Ends a generation whose connection is lost and whose engine may still work on
 * it. Orders the engine to stop it, and to copy its memory to a destination,
 * and repeats the order until its end is known, see ended_run, or until it is
 * given up.
 *
 * The hooks are called from the reactor, never inside start().
 */
class run_stop : public std::enable_shared_from_this<run_stop>
{
public:
    struct hooks {
        std::function<void(const ended_run&)> ended;
        /** The run may still go on. */
        std::function<void()> given_up;
    };

    /**
     * Without a destination no order is sent, and the run, which must have
     * begun, is awaited by the engine's reports.
     */
    run_stop(gateway_context& context, std::string request_id,
             upstream_record source, std::optional<upstream_record> destination,
             time_point give_up_at, hooks on);
    run_stop(const run_stop&) = delete;
    run_stop& operator=(const run_stop&) = delete;
    ~run_stop();

    void start();
    /** Calls no hook any more, and frees the copied memory. */
    void cancel();

private:
    void order_stop();
    /** Sends the order to stop and to copy to `destination`. */
    void send_order(const upstream_record& destination);
    void handle_failure(move_failure failure);
    /** True if nothing may be sent to the source. */
    bool is_source_barred() const;
    /** Checks the source's process if the order stays without a reply. */
    void check_later();
    void check_process();
    void handle_check(upstream_liveness found);
    /** `denied`: the engine has replied that there is no such run. */
    void query_load(bool denied);
    void handle_load(const call_outcome& outcome, bool denied,
                     time_point asked_at);
    /** Tries again after a delay, unless it is time to give up. */
    void repeat();
    void end(const ended_run& ended);
    /** Ends if the argument proves that the run has ended. */
    bool end_if_known(const std::optional<ended_run>& ended);

    gateway_context& context_;
    std::string request_id_;
    upstream_record source_;
    std::optional<upstream_record> destination_;
    time_point lost_at_; ///< the run had begun, and its connection was lost
    time_point give_up_at_;
    hooks on_;
    std::shared_ptr<generation_move> move_;
    /** Checks of the source since the last one to which its host replied. */
    unsigned unanswered_checks_ = 0;
    bool checking_ = false;
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RUN_STOP_HPP
