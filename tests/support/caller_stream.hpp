#ifndef CYCLAMENRUN_TESTS_CALLER_STREAM_HPP
#define CYCLAMENRUN_TESTS_CALLER_STREAM_HPP

#include "generation_id.hpp"
#include "http_exchange.hpp"
#include "http_json.hpp"
#include "sse_parser.hpp"

#include <Poco/JSON/Array.h>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/** State of a stream as its caller sees it. */
enum class stream_state : std::uint8_t { open, complete, refused, lost };

struct reported_refusal {
    std::string kind;
    std::string reason;
};

/** Parses an entry's error body; empty if `body` is not an error. */
inline std::optional<reported_refusal> read_refusal(const std::string& body)
{
    const auto document = parse_json_object(body);
    const auto error =
        document ? json_object(*document, "error") : Poco::JSON::Object::Ptr{};
    if (!error)
        return {};
    return reported_refusal{json_string(*error, "kind").value_or(""),
                            json_string(*error, "reason").value_or("")};
}

/** A caller that reads a generation's events when the test asks for them. */
class caller_stream
{
public:
    caller_stream(const std::string& address, const http_request& request)
        : exchange_(std::make_unique<http_exchange>(address, exchange_limits{},
                                                    steady_now))
    {
        const auto head = exchange_->start(request);
        if (!head) {
            state_ = stream_state::lost;
            return;
        }
        status_ = head->status;
        if (head->content_type != "text/event-stream")
            read_body();
    }

    /** Reads until `count` tokens have arrived or the stream ends. */
    void read_tokens(std::size_t count)
    {
        while (positions_.size() < count && state_ == stream_state::open)
            read_more();
    }

    void read_all()
    {
        while (state_ == stream_state::open)
            read_more();
    }

    /** Closes the connection without reading the rest. */
    void disconnect()
    {
        exchange_.reset();
        state_ = stream_state::lost;
    }

    int status() const { return status_; }
    stream_state state() const { return state_; }
    const std::string& text() const { return text_; }
    const std::string& finish_reason() const { return finish_reason_; }
    const std::string& last_event_id() const { return last_event_id_; }
    const std::vector<stream_position>& positions() const { return positions_; }
    const reported_refusal& refusal() const { return refusal_; }

private:
    void read_more()
    {
        const auto bytes = exchange_->read();
        if (!bytes || bytes->empty()) {
            state_ = stream_state::lost;
            return;
        }
        const auto fed = parser_.feed(*bytes, [this](sse_event&& event) {
            handle_event(event);
            return state_ == stream_state::open;
        });
        if (!fed)
            state_ = stream_state::lost;
    }

    void read_body()
    {
        std::string body;
        for (auto bytes = exchange_->read(); bytes && !bytes->empty();
             bytes = exchange_->read())
            body.append(*bytes);
        const auto reported = read_refusal(body);
        state_ = reported ? stream_state::refused : stream_state::lost;
        refusal_ = reported.value_or(reported_refusal{});
    }

    void handle_event(const sse_event& event)
    {
        if (event.type == "error") {
            state_ = stream_state::refused;
            refusal_ = read_refusal(event.data).value_or(reported_refusal{});
            return;
        }
        if (event.data == "[DONE]") {
            state_ = stream_state::complete;
            return;
        }
        const auto chunk = parse_json_object(event.data);
        const auto choice = json_array(*chunk, "choices")->getObject(0);
        finish_reason_ = json_string(*choice, "finish_reason").value_or("");
        if (event.id.empty())
            return;
        text_ += json_string(*choice, "text").value_or("");
        last_event_id_ = event.id;
        positions_.push_back(
            parse_stream_position(event.id).value_or(stream_position{}));
    }

    std::unique_ptr<http_exchange> exchange_;
    sse_parser parser_;
    int status_ = 0;
    stream_state state_ = stream_state::open;
    std::string text_;
    std::string finish_reason_;
    std::string last_event_id_;
    std::vector<stream_position> positions_;
    reported_refusal refusal_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_CALLER_STREAM_HPP
