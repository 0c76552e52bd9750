#ifndef CYCLAMENRUN_GENERATION_MOVE_HPP
#define CYCLAMENRUN_GENERATION_MOVE_HPP

#include "gateway_context.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cyclamenrun
{

enum class move_failure : std::uint8_t {
    not_running, ///< It has ended at the source, or has not begun there.
    no_room,     ///< The destination can't take it; it still runs.
    uncertain,   ///< No answer: whether it still runs is unknown.
};

std::string_view name_of(move_failure failure);

/**
 * Moves one running generation to another engine, as the orders to its
 * source. The memory is copied while the generation runs on; then it is
 * stopped and what has grown since is copied, so that the pause that the
 * caller sees is that of the second, short copy.
 */
class generation_move : public std::enable_shared_from_this<generation_move>
{
public:
    struct hooks {
        /** Stopped at the source; it may go on from this memory. */
        std::function<void(continuation)> stopped;
        /** `kept`: memory that the source still holds, if it says so. */
        std::function<void(move_failure, std::optional<continuation> kept)>
            failed;
    };

    generation_move(gateway_context& context, std::string request_id,
                    upstream_record source, upstream_record destination,
                    time_point deadline, hooks on);

    void start();
    /** The generation needs no move any more; frees what was copied. */
    void cancel();

    /** The source may have stopped it by now, or will. */
    bool stop_ordered() const { return stop_ordered_; }
    const upstream_record& destination() const { return destination_; }

private:
    void order(bool stop_first);
    void take(call_outcome outcome);
    void take_copied(const move_reply& reply);
    void fail(move_failure failure, const std::string& handle);

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
