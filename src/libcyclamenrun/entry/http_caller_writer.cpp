#include "http_caller_writer.hpp"

#include "caller_error.hpp"
#include "json_text.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

namespace cyclamenrun
{

namespace
{

/**
 * Makes the connection of a request end with a reset, also if this process
 * dies, until the answer is finished: the kernel would end it in an orderly
 * way.
 */
class reset_unless_finished
{
public:
    explicit reset_unless_finished(Poco::Net::HTTPServerRequest& request)
        : socket_(
              dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket())
    {
        socket_.setLinger(true, 0);
    }

    void finish() { socket_.setLinger(false, 0); }

private:
    Poco::Net::StreamSocket& socket_;
};

/**
 * Appends one server-sent event. It has an id line only if the caller can
 * resume after it.
 */
void append_event(std::string& out, const std::string& id,
                  const std::string& data)
{
    if (!id.empty())
        out += "id: " + id + '\n';
    out += "data: " + data + "\n\n";
}

} // namespace

http_caller_writer::http_caller_writer(Poco::Net::HTTPServerRequest& request,
                                       Poco::Net::HTTPServerResponse& response,
                                       answer_format format,
                                       std::function<bool()> stopping)
    : request_(request), response_(response), format_(std::move(format)),
      stopping_(std::move(stopping))
{
    response_.set("X-Request-Id", format_.request_id);
}

bool http_caller_writer::tokens(const write_tokens& tokens)
{
    if (!start_events())
        return false;
    std::string events;
    auto position = tokens.first;
    for (const auto& text : tokens.texts) {
        append_event(events, to_string(position), token_chunk(text));
        ++position.index;
    }
    return write_event(events);
}

bool http_caller_writer::end(const write_end& end)
{
    if (!format_.events)
        return send_body(200, "application/json", whole_body(end));
    if (!start_events())
        return false;
    std::string events;
    if (!end.whole.empty()) {
        std::string text;
        for (const auto& token : end.whole)
            text += token;
        append_event(events, {}, token_chunk(text));
    }
    append_event(events, {}, end_chunk(end.finish_reason));
    append_event(events, {}, "[DONE]");
    return write_event(events);
}

bool http_caller_writer::answer(const write_answer& answer)
{
    const auto& [status, type, body, confirmed_whole] = answer.answer;
    return confirmed_whole ? send_body(status, type, body)
                           : send_unframed(status, type, body);
}

bool http_caller_writer::refuse(const refusal& why)
{
    const auto body = caller_error_body(why, format_.request_id);
    if (stream_ != nullptr)
        return write_event("event: error\ndata: " + body + "\n\n");
    const auto seconds = retry_after_seconds(why);
    if (!seconds.empty())
        response_.set("Retry-After", seconds);
    return send_body(http_status(why.reason), "application/json", body);
}

bool http_caller_writer::is_disconnected()
{
    // A socket that is readable without data has been closed by its peer.
    try {
        auto& socket =
            dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request_).socket();
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) &&
               socket.available() == 0;
    } catch (const Poco::Exception&) {
        return true;
    }
}

bool http_caller_writer::send_body(int status, const std::string& content_type,
                                   const std::string& body)
{
    try {
        response_.setStatusAndReason(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        response_.setContentType(content_type);
        announce_close();
        response_.sendBuffer(body.data(), body.size());
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

bool http_caller_writer::send_unframed(int status,
                                       const std::string& content_type,
                                       const std::string& body)
{
    try {
        response_.setStatusAndReason(
            static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
        response_.setContentType(content_type);
        response_.setKeepAlive(false);
        reset_unless_finished ending(request_);
        auto& stream = response_.send();
        stream.write(body.data(), static_cast<std::streamsize>(body.size()));
        stream.flush();
        if (!stream.good())
            return false;
        ending.finish();
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

void http_caller_writer::announce_close()
{
    if (stopping_ && stopping_())
        response_.setKeepAlive(false);
}

bool http_caller_writer::start_events()
{
    if (stream_ != nullptr)
        return true;
    try {
        response_.setContentType("text/event-stream");
        response_.set("Cache-Control", "no-store");
        response_.setChunkedTransferEncoding(true);
        announce_close();
        stream_ = &response_.send();
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

bool http_caller_writer::write_event(const std::string& event)
{
    try {
        stream_->write(event.data(),
                       static_cast<std::streamsize>(event.size()));
        stream_->flush();
        return stream_->good();
    } catch (const Poco::Exception&) {
        return false;
    }
}

std::string http_caller_writer::token_chunk(const std::string& text) const
{
    const bool chat = format_.completion == completion_format::chat;
    const auto quoted = json_quoted(text);
    return chunk((chat ? "\"delta\":{\"content\":" + quoted + '}'
                       : "\"text\":" + quoted) +
                 ",\"finish_reason\":null");
}

std::string
http_caller_writer::end_chunk(const std::string& finish_reason) const
{
    const bool chat = format_.completion == completion_format::chat;
    return chunk(
        (chat ? std::string("\"delta\":{}") : std::string("\"text\":\"\"")) +
        ",\"finish_reason\":" + json_quoted(finish_reason));
}

std::string http_caller_writer::whole_body(const write_end& end) const
{
    std::string text;
    for (const auto& token : end.whole)
        text += token;
    const bool chat = format_.completion == completion_format::chat;
    const auto quoted = json_quoted(text);
    const auto choice =
        (chat
             ? "\"message\":{\"role\":\"assistant\",\"content\":" + quoted + '}'
             : "\"text\":" + quoted) +
        ",\"finish_reason\":" + json_quoted(end.finish_reason);
    auto body = chunk(choice);
    body.pop_back(); // the closing brace, to append a member
    return body + ",\"usage\":{\"completion_tokens\":" +
           std::to_string(end.token_count) + "}}";
}

std::string http_caller_writer::chunk(const std::string& choice) const
{
    const bool chat = format_.completion == completion_format::chat;
    const auto* object =
        format_.events ? (chat ? "chat.completion.chunk" : "text_completion")
                       : (chat ? "chat.completion" : "text_completion");
    return "{\"id\":" + json_quoted(format_.request_id) + ",\"object\":\"" +
           object + "\",\"model\":" + json_quoted(format_.service) +
           ",\"choices\":[{\"index\":0," + choice + "}]}";
}

} // namespace cyclamenrun
