#ifndef CYCLAMENRUN_SSE_PARSER_HPP
#define CYCLAMENRUN_SSE_PARSER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

/** One server-sent event. */
struct sse_event {
    std::string id;
    std::string type; ///< empty: the default type, `message`
    std::string data;

    bool operator==(const sse_event&) const = default;
};

struct sse_limits {
    std::size_t max_line_bytes = std::size_t(64) << 10;
    std::size_t max_event_bytes = std::size_t(256) << 10;
};

enum class sse_failure : std::uint8_t { line_too_long, event_too_large };

std::string_view name_of(sse_failure failure);

/**
 * Parses server-sent events from a byte stream that is split at any point.
 * Buffers one line and one event, both limited in size. After a failure all
 * later calls return the same failure.
 */
class sse_parser
{
public:
    /** Handles an event. False drops the rest of the bytes passed to feed(). */
    using event_function = std::function<bool(sse_event&&)>;

    explicit sse_parser(sse_limits limits = {});

    tl::expected<void, sse_failure> feed(std::string_view bytes,
                                         const event_function& on_event);

private:
    bool end_line(const event_function& on_event);
    void set_field(std::string_view name, std::string_view value);

    sse_limits limits_;
    std::string line_;
    sse_event event_;
    bool has_data_ = false;
    bool after_return_ = false;
    tl::expected<void, sse_failure> state_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SSE_PARSER_HPP
