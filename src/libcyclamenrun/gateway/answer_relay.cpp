#include "answer_relay.hpp"

#include "http_text.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

http_head without_connection_fields(http_head head)
{
    std::erase_if(head.fields, [](const http_field& field) {
        return is_hop_by_hop(field.name);
    });
    return head;
}

} // namespace

void answer_relay::set_route(const gateway_route& route,
                             std::optional<std::uint64_t> last_event_id)
{
    is_stream_ = route.shape == answer_shape::event_stream;
    first_target_ = route.objective;
    pause_target_ = route.gap_target;
    events_ = event_splitter(last_event_id);
}

void answer_relay::prepare_next_response()
{
    events_.restart();
    receipt_ = {.framing = http_framing::none};
    relaying_ = false;
    std::string().swap(body_);
}

void answer_relay::handle_head(http_head&& head, const response_facts& facts)
{
    facts_ = facts;
    receipt_.framing = head.body_framing();
    relaying_ = is_stream_ && is_success(head.status) && facts.sealed;
    // The caller already has the head of the first run.
    if (!begun())
        head_ = std::move(head);
    else
        head_.status = head.status;
}

tl::expected<answer_relay::progress, event_problem>
answer_relay::handle_body(std::string_view bytes, time_point now)
{
    if (relaying_ && is_stream_) {
        const auto events_before = events_.events();
        const auto passed = events_.feed(bytes);
        if (!passed)
            return tl::unexpected(passed.error());
        if (passed->empty())
            return progress();
        auto result = write_part(*passed, now);
        result.events = events_.events() - events_before;
        return result;
    }
    if (relaying_)
        return write_part(bytes, now);
    body_ += bytes;
    if (body_.size() <= max_buffered_answer_bytes)
        return progress();
    if (!is_deliverable() || body_.size() > max_error_answer_bytes)
        return tl::unexpected(event_problem::too_large);
    if (!is_success(head_.status))
        return progress();
    relaying_ = true;
    return write_part(std::exchange(body_, {}), now);
}

answer_relay::progress answer_relay::write_part(std::string_view bytes,
                                                time_point now)
{
    progress result;
    result.relayed = true;
    result.was_first = !begun();
    result.pause = pause_until(now);
    result.late_pause = record_part(result.pause, now);
    if (!begun())
        begin();
    writer_->write_piece(bytes);
    return result;
}

void answer_relay::begin()
{
    begun_framing_ = receipt_.framing == http_framing::connection
                         ? http_framing::connection
                         : http_framing::chunked;
    writer_->begin(without_connection_fields(head_), *begun_framing_);
}

std::optional<milliseconds> answer_relay::record_part(milliseconds pause,
                                                      time_point now)
{
    last_part_at_ = now;
    const auto target = begun() ? pause_target_ : first_target_;
    if (!time_to_first_part_)
        time_to_first_part_ = pause;
    else
        longest_pause_ = std::max(longest_pause_, pause);
    if (target <= milliseconds::zero() || pause <= target)
        return std::nullopt;
    return pause;
}

void answer_relay::on_drained(std::size_t low_water,
                              std::function<void()> drained)
{
    writer_->on_drained(low_water, std::move(drained));
}

void answer_relay::end_response(receipt_end how)
{
    receipt_.end = how;
    receipt_.inside_event =
        relaying_ && is_stream_ && !events_.remainder().empty();
}

answer_relay::progress answer_relay::deliver(time_point now)
{
    progress result;
    result.relayed = true;
    result.was_first = true;
    result.pause = pause_until(now);
    result.late_pause = record_part(result.pause, now);
    writer_->write_whole(without_connection_fields(std::move(head_)), body_,
                         ending() == caller_ending::with_length
                             ? http_framing::length
                             : http_framing::connection);
    writer_.reset();
    return result;
}

void answer_relay::finish(time_point now)
{
    if (!begun())
        write_part({}, now);
    writer_->finish();
    writer_.reset();
}

void answer_relay::refuse(http_head head, std::string_view body)
{
    writer_->write_whole(std::move(head), body, http_framing::length);
    writer_.reset();
}

void answer_relay::abort()
{
    writer_->abort();
    writer_.reset();
}

} // namespace cyclamenrun
