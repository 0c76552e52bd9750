#include "caller_error.hpp"

#include "json_text.hpp"

namespace cyclamenrun
{

std::string caller_error_body(const refusal& why, const std::string& request_id)
{
    std::string body = "{\"error\":{\"kind\":";
    body += json_quoted(name_of(why.kind));
    body += ",\"reason\":" + json_quoted(name_of(why.reason));
    body += ",\"message\":" + json_quoted(why.detail);
    if (why.retry_after)
        body +=
            ",\"retry_after_ms\":" + std::to_string(why.retry_after->count());
    body += ",\"request_id\":" + json_quoted(request_id) + "}}";
    return body;
}

std::string retry_after_seconds(const refusal& why)
{
    if (!why.retry_after)
        return {};
    return std::to_string((why.retry_after->count() + 999) / 1000);
}

} // namespace cyclamenrun
