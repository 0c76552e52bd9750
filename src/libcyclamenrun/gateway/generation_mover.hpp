#ifndef CYCLAMENRUN_GENERATION_MOVER_HPP
#define CYCLAMENRUN_GENERATION_MOVER_HPP

#include "gateway_context.hpp"
#include "generation_move.hpp"
#include "turn_search.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Steps on the way to a move. */
enum class move_step : std::uint8_t {
    source_turn_wanted,
    source_turn_given,
    no_destination, ///< it is asked for again in a while
    destination_turn_wanted,
    ordered, ///< the source was told to copy
};

std::string_view name_of(move_step step);

/**
 * Takes one generation away from engines that leave: waits for its turn at
 * the engine's link, finds a destination with room whose link is free, orders
 * the move, and says when and from which memory the generation goes on. Turns
 * at destinations are asked for only while that at the source is held, and no
 * engine that leaves is a destination, so two never wait for each other. When
 * no destination has room it tries others until the engine is gone.
 */
class generation_mover : public std::enable_shared_from_this<generation_mover>
{
public:
    struct hooks {
        /** Size of its memory now, about. */
        std::function<std::uint64_t()> memory_tokens;
        /** Whether it runs there now. */
        std::function<bool(const upstream_record&)> runs_at;
        /** Where it may go, by beliefs alone; empty if nowhere. */
        std::function<std::optional<upstream_record>(
            const upstream_record& source, const std::string& refused_by)>
            destination;
        /** Engines to ask whether it may come, none of those in `but`. */
        std::function<std::vector<upstream_record>(
            const upstream_record& source, const std::vector<std::string>& but,
            std::size_t count)>
            candidates;
        /** Cost of copying it from `source` to an engine; lower is better. */
        std::function<double(const upstream_record& source,
                             const upstream_record& engine)>
            cost;
        /** The source sends nothing more: its connection may be dropped. */
        std::function<void()> drop_source;
        /** It has stopped, and goes on there from this memory. */
        std::function<void(const upstream_record&, const continuation&)> go_on;
        /** It has ended at the source, and there is no memory of it. */
        std::function<void()> lost;
        /** What became of one move; empty: it goes on at `to`. */
        std::function<void(const upstream_record& source,
                           const upstream_record& to,
                           std::optional<move_failure>)>
            tried;
        /** A step on the way to a move, and the engine that it is about. */
        std::function<void(move_step, const upstream_record&)> step;
    };

    generation_mover(gateway_context& context, std::string request_id,
                     hooks on);

    /** The engine that runs it leaves; harmless if that is known already. */
    void source_leaving(const upstream_record& source);
    /**
     * The source's stream has ended without its end. True if that is how a
     * move looks, and the mover goes on from here.
     */
    bool source_ended();
    /** It needs no move any more. */
    void cancel();

private:
    void source_turn_given(const upstream_record& source);
    void choose_destination(const upstream_record& source);
    void search_destination(const upstream_record& source);
    void no_destination(const upstream_record& source);
    void start(const upstream_record& source, const upstream_record& to);
    void end_turns();
    void stopped(const continuation& from, const upstream_record& source,
                 const upstream_record& to);
    void failed(move_failure failure, const std::optional<continuation>& kept,
                const upstream_record& source);
    void wait_for_stop(const continuation& kept, const upstream_record& source);
    void go_on_after_last_events();
    void go_on();
    void try_again(const upstream_record& source);

    gateway_context& context_;
    std::string request_id_;
    hooks on_;
    std::shared_ptr<generation_move> move_;
    std::shared_ptr<turn_search> search_; ///< holds the destination's turn
    bool turn_wanted_ = false;            ///< or held
    bool source_ended_ = false;
    bool over_ = false;
    std::string refused_by_; ///< destination that had no room
    unsigned moves_ = 0;
    /** Stopped; goes on from here once the source has sent its last. */
    struct pending_step {
        continuation from;
        upstream_record to;
    };
    std::optional<pending_step> pending_;
    /**
     * The order to stop was sent and its answer is lost. If the source's
     * stream ends now, it was carried out, and this is how to go on.
     */
    std::optional<pending_step> doubtful_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GENERATION_MOVER_HPP
