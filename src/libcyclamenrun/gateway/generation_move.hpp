#ifndef CYCLAMENRUN_GENERATION_MOVE_HPP
#define CYCLAMENRUN_GENERATION_MOVE_HPP

#include "ended_run.hpp"
#include "gateway_context.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** Why a move failed. */
enum class move_failure : std::uint8_t {
    not_running, ///< The generation has ended or not begun at the source.
    /**
     * The copy failed, for example for lack of room. The source continues
     * unless it has received the stop order.
     */
    no_room,
    /** The budget for the continuation has expired; the source continues. */
    no_budget,
    /** The destination's failure domain is evacuated; the source continues. */
    evacuated,
    /**
     * No reply to the stop order, or an invalid reply to either order: the
     * generation may or may not still run.
     */
    uncertain,
    unreachable, ///< No connection to the source could be established.
};

std::string_view name_of(move_failure failure);

/**
 * Moves one running generation to another engine by two orders to its source.
 * The first copies the memory while the generation continues. The second stops
 * the generation and copies the memory added since, so that the caller only
 * sees the pause of this second, short copy.
 */
class generation_move : public std::enable_shared_from_this<generation_move>
{
public:
    struct hooks {
        /** Whether the continuation can be sent once the source has stopped. */
        std::function<bool()> may_stop;
        /** The source stopped; the generation may resume elsewhere. */
        std::function<void(const ended_run&)> stopped;
        /** `at_source`: set if the source stopped and can resume. */
        std::function<void(move_failure,
                           const std::optional<ended_run>& at_source)>
            failed;
    };

    generation_move(gateway_context& context, std::string request_id,
                    upstream_record source, upstream_record destination,
                    time_point deadline, hooks on);

    void start();
    /** Sends only the second order: the generation's connection is lost. */
    void stop_at_once() { send_order(true); }
    /** Abandons the move and frees the copied memory. */
    void cancel();

    /** True if the source may have stopped the generation or may yet do so. */
    bool stop_ordered() const { return stop_ordered_; }
    const upstream_record& destination() const { return destination_; }
    /** Memory of the last copy, if one was made. */
    std::optional<continuation> copy() const;

private:
    void send_order(bool stop_first);
    /** Sends the stop order once the source does not rest. */
    void send_stop_order();
    void handle_reply(call_outcome outcome);
    void handle_copied(const move_reply& reply);
    void fail(move_failure failure,
              const std::optional<ended_run>& at_source = std::nullopt);
    void free_copy();

    gateway_context& context_;
    std::string request_id_;
    upstream_record source_;
    upstream_record destination_;
    time_point deadline_;
    hooks on_;
    std::string handle_;
    bool stop_ordered_ = false;
    bool over_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GENERATION_MOVE_HPP
