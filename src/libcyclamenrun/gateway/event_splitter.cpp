#include "event_splitter.hpp"

#include "number_limits.hpp"
#include "rejected_messages.hpp"

#include <algorithm>
#include <charconv>

namespace cyclamenrun
{

namespace
{

struct line {
    std::string_view text;
    std::size_t end; ///< offset after its line feed
};

/** Returns the line that begins at `from`; empty if it is incomplete. */
std::optional<line> line_at(std::string_view bytes, std::size_t from)
{
    const auto line_feed = bytes.find('\n', from);
    if (line_feed == std::string_view::npos)
        return std::nullopt;
    auto text = bytes.substr(from, line_feed - from);
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    return line{text, line_feed + 1};
}

/** Returns the size of the first event; 0 if it is incomplete. */
std::size_t first_event_end(std::string_view bytes)
{
    std::size_t at = 0;
    while (const auto next = line_at(bytes, at)) {
        if (next->text.empty())
            return next->end;
        at = next->end;
    }
    return 0;
}

std::optional<std::uint64_t> id_of(std::string_view event)
{
    std::size_t at = 0;
    while (const auto next = line_at(event, at)) {
        at = next->end;
        if (!next->text.starts_with("id:"))
            continue;
        auto value = next->text.substr(3);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        std::uint64_t id = 0;
        const auto* end = value.data() + value.size();
        const auto [stop, error] = std::from_chars(value.data(), end, id);
        if (error == std::errc() && stop == end)
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string_view name_of(event_problem problem)
{
    switch (problem) {
    case event_problem::gap:
        return "gap";
    case event_problem::too_large:
        return "too_large";
    }
    return "gap";
}

tl::expected<std::string, event_problem>
event_splitter::feed(std::string_view bytes)
{
    pending_ += bytes;
    std::string passed;
    std::size_t at = 0;
    while (const auto size =
               first_event_end(std::string_view(pending_).substr(at))) {
        const auto event = std::string_view(pending_).substr(at, size);
        const auto accepted = accept_event(event);
        if (!accepted)
            return tl::unexpected(accepted.error());
        if (*accepted)
            passed += event;
        at += size;
    }
    pending_.erase(0, at);
    if (pending_.size() > max_event_bytes)
        return tl::unexpected(event_problem::too_large);
    return passed;
}

tl::expected<bool, event_problem>
event_splitter::accept_event(std::string_view event)
{
    const auto id = id_of(event);
    if (!id)
        return true;
    if (*id > number_limits::position) {
        process_rejected_messages().record(
            {message_problem::out_of_range, "event", "id"});
        return tl::unexpected(event_problem::gap);
    }
    if (last_id_ && *id <= *last_id_)
        return false;
    if (last_id_ && *id != *last_id_ + 1)
        return tl::unexpected(event_problem::gap);
    last_id_ = id;
    ++events_;
    return true;
}

} // namespace cyclamenrun
