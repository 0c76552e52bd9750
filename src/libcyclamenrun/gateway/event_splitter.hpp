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

/** Why a stream of events can't be passed on. */
enum class event_problem : std::uint8_t {
    gap,       ///< An event is missing.
    too_large, ///< One event, or an answer that is buffered, is too large.
    /** Events without data, or that were repeated, follow each other. */
    no_content,
};

std::string_view name_of(event_problem problem);

/**
 * Splits a stream into complete server-sent events and passes them on byte for
 * byte, in the order of their ids. Guards against an upstream that fails in the
 * middle of an event, where the continuation would be appended to half an
 * event, and against a continuation that repeats or omits events.
 */
class event_splitter
{
public:
    /** @param last_id  last event that the caller already has */
    explicit event_splitter(std::optional<std::uint64_t> last_id = {})
        : last_id_(last_id)
    {
    }

    /** Returns the complete events to pass on; empty if there is none yet. */
    tl::expected<std::string, event_problem> feed(std::string_view bytes);

    /** Drops an incomplete event of the previous run before a new run. */
    void restart();

    /** Returns the bytes after the last complete event. */
    const std::string& remainder() const { return pending_; }
    /** Memory that is held for an incomplete event. */
    std::size_t buffer_bytes() const { return pending_.capacity(); }

    std::optional<std::uint64_t> last_id() const { return last_id_; }
    /** Number of events with an id that were passed on. */
    std::uint64_t events() const { return events_; }

private:
    /** Returns the end of the first event in pending_; 0: it is incomplete. */
    std::size_t find_event_end();
    /** Counts an event towards the bound on events without content. */
    void count_content(std::string_view event);
    /** Returns false for an event that the caller already has. */
    tl::expected<bool, event_problem> accept_event(std::string_view event);

    std::string pending_;
    std::size_t line_ = 0;     ///< begin of the first line without an end
    std::size_t searched_ = 0; ///< pending_ has no line feed from line_ to here
    std::size_t empty_bytes_ = 0; ///< since the last event with content
    std::optional<std::uint64_t> last_id_;
    std::optional<std::uint64_t> run_id_; ///< last id of the current run
    std::uint64_t events_ = 0;
};

/** Maximum size of one event; events of model engines are below 4 KiB. */
inline constexpr std::size_t max_event_bytes = std::size_t(1) << 20;

/**
 * Bytes of events without content that may follow each other. Comments that
 * keep a stream alive have a few bytes every few seconds.
 */
inline constexpr std::size_t max_empty_event_bytes = std::size_t(256) << 10;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EVENT_SPLITTER_HPP
