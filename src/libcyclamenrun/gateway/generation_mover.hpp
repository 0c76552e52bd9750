#ifndef CYCLAMENRUN_GENERATION_MOVER_HPP
#define CYCLAMENRUN_GENERATION_MOVER_HPP

#include "copy_turn_search.hpp"
#include "ended_run.hpp"
#include "gateway_context.hpp"
#include "generation_move.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Steps of a move. */
enum class move_step : std::uint8_t {
    source_turn_wanted,
    source_turn_given,
    no_budget,      ///< no repeat is left; tried again after a delay
    no_destination, ///< the search is repeated after a delay
    destination_turn_wanted,
    ordered, ///< the copy order was sent to the source
};

std::string_view name_of(move_step step);

/**
 * Moves one generation off an engine that leaves: waits for the copy turn at
 * the source's link, finds a destination with room and a free link, orders the
 * move, and reports when and from which memory the generation resumes. Copy
 * turns at destinations are requested only while the turn at the source is
 * held, and an engine that leaves is never a destination, so two movers cannot
 * deadlock. When no destination has room, the mover retries until the source is
 * removed.
 */
class generation_mover : public std::enable_shared_from_this<generation_mover>
{
public:
    struct hooks {
        /** Whether another engine may continue a generation of this one. */
        std::function<bool(const upstream_record& source)> has_destination;
        /** Reserves the budget for the continuation; false: none is left. */
        std::function<bool()> reserve;
        /** Spends what was reserved; false if it has expired. */
        std::function<bool()> spend;
        /** Gives up what was reserved or spent: nothing continues yet. */
        std::function<void()> release;
        /** Estimated current memory of the generation. */
        std::function<std::uint64_t()> memory_tokens;
        /** True if the generation currently runs at that upstream. */
        std::function<bool(const upstream_record&)> runs_at;
        /**
         * Destination chosen by estimated loads only; empty if none.
         * `refused_by`: id of the last destination that had no room, or empty.
         */
        std::function<std::optional<upstream_record>(
            const upstream_record& source, const std::string& refused_by)>
            destination;
        /** Up to `count` possible destinations, none in `exclude`. */
        std::function<std::vector<upstream_record>(
            const upstream_record& source,
            const std::vector<std::string>& exclude, std::size_t count)>
            candidates;
        /** Cost of copying from `source` to `engine`; lower is better. */
        std::function<double(const upstream_record& source,
                             const upstream_record& engine)>
            cost;
        /** Drops the source's connection after its last events. */
        std::function<void()> drop_source;
        /** Resumes the stopped generation from its memory. */
        std::function<void(const ended_run&)> resume;
        /** The generation ended at the source and its memory is lost. */
        std::function<void(const upstream_record& source)> lost;
        /** Result of one move; empty: the generation resumes at `to`. */
        std::function<void(const upstream_record& source,
                           const upstream_record& to,
                           std::optional<move_failure>)>
            move_ended;
        /** A step of the move and the engine that it concerns. */
        std::function<void(move_step, const upstream_record&)> step;
    };

    generation_mover(gateway_context& context, std::string request_id,
                     hooks on);

    /** Starts a move off an engine that leaves; idempotent. */
    void source_leaving(const upstream_record& source);
    /**
     * Handles a source's stream that was interrupted before its last event.
     * Returns true if the move caused it; the mover then resumes the
     * generation.
     */
    bool source_ended();
    /** Whether the source may have been ordered to stop its stream. */
    bool stop_ordered() const
    {
        return pending_ || unconfirmed_ || (move_ && move_->stop_ordered());
    }
    /** Abandons the move. */
    void cancel();

private:
    void handle_source_turn(const upstream_record& source);
    void choose_destination(const upstream_record& source);
    void search_destination(const upstream_record& source);
    void handle_no_destination(const upstream_record& source);
    void start(const upstream_record& source, const upstream_record& to);
    void release_turns();
    void handle_stopped(const ended_run& ended, const upstream_record& source,
                        const upstream_record& to);
    void handle_failure(move_failure failure,
                        const std::optional<ended_run>& at_source,
                        const upstream_record& source);
    void handle_uncertain_stop(const continuation& copy,
                               const upstream_record& source);
    void resume_after_last_events();
    void resume();
    void retry_later(const upstream_record& source);
    /** Calls source_leaving() again after a delay. */
    void wait(const upstream_record& source, milliseconds delay);

    gateway_context& context_;
    std::string request_id_;
    hooks on_;
    std::shared_ptr<generation_move> move_;
    std::shared_ptr<copy_turn_search>
        search_;                  ///< holds the destination's copy turn
    bool turn_requested_ = false; ///< the source's turn is requested or held
    bool source_ended_ = false;
    bool waits_ = false;
    bool over_ = false;
    std::string refused_by_; ///< last destination that had no room
    unsigned moves_ = 0;
    /** A stopped generation, which resumes after the source's last events. */
    std::optional<ended_run> pending_;
    /**
     * Set while the stop order was sent but its reply is lost. If the source's
     * stream ends now, the order was executed.
     */
    std::optional<ended_run> unconfirmed_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GENERATION_MOVER_HPP
