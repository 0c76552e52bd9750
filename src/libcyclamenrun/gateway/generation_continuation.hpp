#ifndef CYCLAMENRUN_GENERATION_CONTINUATION_HPP
#define CYCLAMENRUN_GENERATION_CONTINUATION_HPP

#include "ended_run.hpp"
#include "generation_mover.hpp"
#include "request_conclusion.hpp"
#include "run_stop.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenrun
{

/**
 * Continues the run of a generation at another engine: moved when its engine
 * leaves, from a backup when its engine is lost, or back at the source when the
 * destination turns it away.
 */
class generation_continuation
{
public:
    struct hooks {
        /** Upstream of the current attempt; null: none. */
        std::function<const upstream_record*()> current;
        /** Ends the current attempt, whose run continues elsewhere. */
        std::function<void()> drop_attempt;
        /** Whether the request may be sent, see poison_guard::admit(). */
        std::function<poison_admission()> admit;
        /**
         * Sends the request to continue from this memory. False: the request
         * has ended instead, and the continuation may be destroyed.
         */
        std::function<bool(const upstream_record&, const continuation&)> send;
        /** Calls a function later, unless the request has ended by then. */
        std::function<void(time_point, std::function<void()>)> post_at;
        /** The run has ended, and nothing continues it. */
        std::function<void()> lost;
        /** The run is lost and may still go on: nothing may continue it. */
        std::function<void()> unstoppable;
    };

    generation_continuation(gateway_context& context, served_request& served,
                            request_conclusion& conclusion, hooks on);

    /** Chooses whether and where the run that begins is backed up. */
    void choose_backup(const upstream_record& upstream);
    const std::optional<upstream_record>& backup() const { return backup_; }
    /** Sets the memory from which the current attempt continues, if any. */
    void set_origin(std::optional<continuation> from)
    {
        from_ = std::move(from);
    }
    bool has_origin() const { return from_.has_value(); }
    /** Estimated current memory of the generation. */
    std::uint64_t memory_tokens() const;

    /** Handles an engine that leaves; `leaves_at` is empty if unknown. */
    void engine_leaving(const upstream_record& engine,
                        std::optional<time_point> leaves_at);
    /** True if the engine may have been ordered to stop its stream. */
    bool stop_ordered() const { return mover_ && mover_->stop_ordered(); }
    /** True if the source's stream ended because the generation is moved. */
    bool source_ended() { return mover_ && mover_->source_ended(); }
    /**
     * Continues the run where it was stopped, after its destination has turned
     * it away; false if that is not possible.
     */
    bool resume_at_source();
    /**
     * Continues the run after its connection is lost, once it has ended there;
     * false if nothing can continue it. `found`: by a check of its engine.
     */
    bool resume_after_loss(const upstream_record& source,
                           upstream_liveness found);
    void cancel();

private:
    bool resume_at_backup(const ended_run& ended);
    /** The backup, if it may still be used. */
    std::optional<upstream_record> usable_backup() const;
    /**
     * Engine named in the order to stop a lost run, with room for its memory if
     * there is one: the order stops the run even if the copy fails.
     */
    std::optional<upstream_record>
    choose_stop_destination(const upstream_record& source);
    /** Engine to which the memory of a stopped run is copied. */
    std::optional<upstream_record>
    choose_destination(const upstream_record& source,
                       const std::vector<std::string>& excluded);
    void stop_run(const upstream_record& source,
                  const std::optional<upstream_record>& destination);
    void handle_stopped(const ended_run& ended);
    /** True if the generation would crash the engine where it goes on. */
    bool is_convicted() const;
    std::shared_ptr<generation_mover> make_mover();
    generation_mover::hooks mover_hooks();
    placement_request
    make_placement_request(const upstream_record& source) const;
    /** Software version that may continue the run; empty: unknown. */
    std::string stream_version(const upstream_record& source) const;
    /**
     * Waits for the end of the upstream's rest, if it has asked for one, for
     * another run of what is suspected of this request, and for a while for
     * room at a cold upstream. If the upstream's failure domain is evacuated,
     * the run continues elsewhere or is lost.
     */
    void resume_at(const ended_run& run, const upstream_record& upstream,
                   const continuation& from);
    /** Time after which to try again; zero: send now, with room or without. */
    milliseconds wait_for_cold_room(const std::string& upstream_id);
    /** Continues a run that its destination may no longer get. */
    void resume_outside(const ended_run& run, const upstream_record& evacuated,
                        const continuation& from);
    /**
     * The upstream at which this request ran and that holds the memory, if it
     * may be sent to; null: none.
     */
    const upstream_record* usable_source(const continuation& from) const;
    void send_continuation(const ended_run& run,
                           const upstream_record& upstream,
                           const continuation& from);

    gateway_context& context_;
    served_request& served_;
    request_conclusion& conclusion_;
    hooks on_;
    std::shared_ptr<generation_mover> mover_;
    std::shared_ptr<run_stop> stop_; ///< of a run that was lost
    /** Engine that holds a backup of the current run. */
    std::optional<upstream_record> backup_;
    /** Memory from which the current attempt continues. */
    std::optional<continuation> from_;
    /** The run that the last continuation was sent to continue. */
    std::optional<ended_run> continued_;
    /** Until when it waits for room at a cold upstream; empty: it does not. */
    std::optional<time_point> cold_room_until_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GENERATION_CONTINUATION_HPP
