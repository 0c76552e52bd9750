#include "sse_parser.hpp"

#include <array>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr std::array<std::string_view, 2> failure_names{"line_too_long",
                                                        "event_too_large"};

} // namespace

std::string_view name_of(sse_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

sse_parser::sse_parser(sse_limits limits) : limits_(limits) {}

tl::expected<void, sse_failure> sse_parser::feed(std::string_view bytes,
                                                 const event_function& on_event)
{
    for (const char byte : bytes) {
        if (!state_)
            return state_;
        // CR LF is one line end, even when split between two calls.
        const bool is_cr_lf = after_return_ && byte == '\n';
        after_return_ = byte == '\r';
        if (is_cr_lf)
            continue;
        if (byte == '\n' || byte == '\r') {
            if (!end_line(on_event))
                return state_;
            continue;
        }
        if (line_.size() == limits_.max_line_bytes)
            state_ = tl::unexpected(sse_failure::line_too_long);
        else
            line_.push_back(byte);
    }
    return state_;
}

bool sse_parser::end_line(const event_function& on_event)
{
    const std::string line = std::exchange(line_, {});
    if (line.empty()) {
        auto event = std::exchange(event_, {});
        if (std::exchange(has_data_, false))
            return on_event(std::move(event));
        return true;
    }
    const std::string_view view(line);
    const auto colon = view.find(':');
    if (colon == std::string_view::npos) {
        set_field(view, {});
        return true;
    }
    auto value = view.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    set_field(view.substr(0, colon), value);
    return true;
}

void sse_parser::set_field(std::string_view name, std::string_view value)
{
    if (name == "id")
        event_.id = value;
    else if (name == "event")
        event_.type = value;
    else if (name != "data")
        return;
    else if (event_.data.size() + value.size() + 1 > limits_.max_event_bytes)
        state_ = tl::unexpected(sse_failure::event_too_large);
    else {
        if (std::exchange(has_data_, true))
            event_.data.push_back('\n');
        event_.data.append(value);
    }
}

} // namespace cyclamenrun
