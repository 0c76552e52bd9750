#ifndef CYCLAMENRUN_EVENT_SPLITTER_HPP
#define CYCLAMENRUN_EVENT_SPLITTER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace cyclamenrun
{

enum class event_order_problem : std::uint8_t {
    gap,       ///< An event is missing.
    too_large, ///< One event is over the limit.
};

std::string_view name_of(event_order_problem problem);

/**
 * Lets only whole server-sent events through, byte for byte, and only those
 * that come next. Guards against an upstream that ends in the middle of an
 * event, whose continuation would otherwise be joined to half an event, and
 * against a continuation that repeats or leaves out events.
 */
class event_splitter
{
public:
    /** The caller has events up to this one already. */
    explicit event_splitter(std::optional<std::uint64_t> last_id = {})
        : last_id_(last_id)
    {
    }

    /** Whole events to pass on; empty if none is complete yet. */
    tl::expected<std::string, event_order_problem> feed(std::string_view bytes);

    /** A new run goes on: what is left of the old one is dropped. */
    void restart() { pending_.clear(); }

    /** What lies behind the last whole event. */
    std::string take_rest() { return std::exchange(pending_, {}); }

    std::optional<std::uint64_t> last_id() const { return last_id_; }
    std::uint64_t events() const { return events_; }

private:
    tl::expected<bool, event_order_problem> take(std::string_view event);

    std::string pending_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
};

/** Largest event; those of model engines are below 4 KiB. */
inline constexpr std::size_t largest_event_bytes = std::size_t(1) << 20;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EVENT_SPLITTER_HPP
