#include "engine_stream.hpp"

#include "http_json.hpp"

#include <Poco/JSON/Array.h>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr std::string_view end_marker = "[DONE]";

/** Returns the token's text: `text` or, in a chat, `delta.content`. */
std::string text_of(const Poco::JSON::Object& choice)
{
    if (auto text = json_string(choice, "text"))
        return std::move(*text);
    const auto delta = json_object(choice, "delta");
    if (!delta)
        return {};
    return json_string(*delta, "content").value_or("");
}

} // namespace

engine_stream::engine_stream(std::string request_id,
                             const engine_events& events)
    : request_id_(std::move(request_id)), events_(events)
{
}

bool engine_stream::handle_event(const sse_event& event)
{
    if (event.data == end_marker) {
        done_ = true;
        return result_.finish_reason.empty()
                   ? fail("the stream ended without a finish reason")
                   : false;
    }
    const auto chunk = parse_json_object(event.data);
    if (!chunk)
        return fail("a chunk is not a JSON object");
    // The caller must not receive the answer to another request.
    if (json_string(*chunk, "id") != request_id_)
        return fail("a chunk belongs to another request");
    const auto choices = json_array(*chunk, "choices");
    const auto choice =
        choices ? choices->getObject(0) : Poco::JSON::Object::Ptr{};
    if (!choice)
        return fail("a chunk has no choice");
    if (!result_.finish_reason.empty())
        return fail("a chunk followed the finish reason");
    auto text = text_of(*choice);
    if (!text.empty()) {
        ++result_.tokens;
        events_.on_token(std::move(text));
    }
    if (auto reason = json_string(*choice, "finish_reason"))
        result_.finish_reason = std::move(*reason);
    return true;
}

bool engine_stream::fail(std::string detail)
{
    error_ =
        engine_error{engine_failure::malformed, 0, true, std::move(detail)};
    return false;
}

} // namespace cyclamenrun
