#include "http_text.hpp"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberFormatter.h>

namespace cyclamenrun
{

namespace
{

void append_field(std::string& text, std::string_view name,
                  std::string_view value)
{
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
}

std::string head_text(std::string text, const http_head& head,
                      http_framing framing, std::size_t body_bytes)
{
    for (const auto& field : head.fields)
        append_field(text, field.name, field.value);
    if (framing == http_framing::length)
        append_field(text, "Content-Length", std::to_string(body_bytes));
    if (framing == http_framing::chunked)
        append_field(text, "Transfer-Encoding", "chunked");
    text += "\r\n";
    return text;
}

} // namespace

std::string request_text(const http_head& head, http_framing framing,
                         std::size_t body_bytes)
{
    return head_text(head.method + " " + head.target + " HTTP/1.1\r\n", head,
                     framing, body_bytes);
}

std::string response_text(const http_head& head, http_framing framing,
                          std::size_t body_bytes)
{
    const std::string reason = head.reason.empty()
                                   ? std::string(reason_phrase(head.status))
                                   : head.reason;
    return head_text("HTTP/1.1 " + std::to_string(head.status) + " " + reason +
                         "\r\n",
                     head, framing, body_bytes);
}

std::string chunk_text(std::string_view bytes)
{
    if (bytes.empty())
        return {};
    std::string text = Poco::NumberFormatter::formatHex(
        static_cast<Poco::UInt64>(bytes.size()));
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    return text;
}

std::string_view reason_phrase(unsigned status)
{
    using response = Poco::Net::HTTPResponse;
    return response::getReasonForStatus(
        static_cast<response::HTTPStatus>(status));
}

} // namespace cyclamenrun
