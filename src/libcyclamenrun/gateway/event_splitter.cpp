#include "event_splitter.hpp"

#include "number_limits.hpp"
#include "rejected_messages.hpp"

#include <algorithm>
#include <charconv>

namespace cyclamenrun
{

namespace
{

/** Buffers with more spare capacity are released, one for each stream. */
constexpr std::size_t kept_capacity = std::size_t(8) << 10;

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

bool has_data(std::string_view event)
{
    std::size_t at = 0;
    while (const auto next = line_at(event, at)) {
        at = next->end;
        if (next->text.starts_with("data:") || next->text == "data")
            return true;
    }
    return false;
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
    case event_problem::no_content:
        return "no_content";
    }
    return "gap";
}

void event_splitter::restart()
{
    std::string().swap(pending_);
    line_ = 0;
    searched_ = 0;
    empty_bytes_ = 0;
    run_id_.reset();
}

std::size_t event_splitter::find_event_end()
{
    // Each byte is searched once, however few arrive at a time.
    for (;;) {
        const auto line_feed = pending_.find('\n', searched_);
        if (line_feed == std::string::npos) {
            searched_ = pending_.size();
            return 0;
        }
        const auto length = line_feed - line_;
        const bool blank =
            length == 0 || (length == 1 && pending_[line_] == '\r');
        line_ = searched_ = line_feed + 1;
        if (blank)
            return line_;
    }
}

tl::expected<std::string, event_problem>
event_splitter::feed(std::string_view bytes)
{
    pending_ += bytes;
    std::string passed;
    std::size_t at = 0;
    while (const auto end = find_event_end()) {
        const auto event = std::string_view(pending_).substr(at, end - at);
        count_content(event);
        if (empty_bytes_ > max_empty_event_bytes)
            return tl::unexpected(event_problem::no_content);
        const auto accepted = accept_event(event);
        if (!accepted)
            return tl::unexpected(accepted.error());
        if (*accepted)
            passed += event;
        at = end;
    }
    pending_.erase(0, at);
    if (pending_.capacity() > kept_capacity &&
        pending_.size() < pending_.capacity() / 4)
        pending_.shrink_to_fit();
    line_ -= at;
    searched_ -= at;
    if (pending_.size() > max_event_bytes)
        return tl::unexpected(event_problem::too_large);
    return passed;
}

void event_splitter::count_content(std::string_view event)
{
    const auto id = id_of(event);
    // A new run may repeat all events that the caller has, each once.
    const bool repeated = id && run_id_ && *id <= *run_id_;
    if (id && !repeated)
        run_id_ = id;
    if (has_data(event) && !repeated)
        empty_bytes_ = 0;
    else
        empty_bytes_ += event.size();
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
