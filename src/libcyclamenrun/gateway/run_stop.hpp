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
 * and reads the engine's list of runs when the reply to the order proves
 * nothing. Repeats both until one of them shows that the run has ended, or
 * until it is given up. An engine that can't be reached counts as gone.
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

    /** Without a destination no order is sent, and the run is awaited. */
    run_stop(gateway_context& context, std::string request_id,
             upstream_record source, std::optional<upstream_record> destination,
             time_point give_up_at, hooks on);

    void start();
    /** Calls no hook any more, and frees the copied memory. */
    void cancel();

private:
    void order_stop();
    void handle_failure(move_failure failure,
                        const std::optional<continuation>& kept);
    /** Ends the wait for the reply to an order if the engine is gone. */
    void check_source();
    /** `denied`: the engine has replied that there is no such run. */
    void query_runs(bool denied);
    void handle_runs(const call_outcome& outcome, bool denied);
    /** Tries again after a delay, unless it is time to give up. */
    void repeat();
    void end(const ended_run& ended);

    gateway_context& context_;
    std::string request_id_;
    upstream_record source_;
    std::optional<upstream_record> destination_;
    time_point give_up_at_;
    hooks on_;
    std::shared_ptr<generation_move> move_;
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RUN_STOP_HPP
