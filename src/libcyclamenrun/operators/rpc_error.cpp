#include "rpc_error.hpp"

#include "json_text.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

namespace cyclamenrun
{

rpc_error to_rpc_error(const refusal& cause)
{
    std::string message(name_of(cause.reason));
    if (!cause.detail.empty())
        message += ": " + cause.detail;
    return {rpc_code_of(cause.reason), std::move(message),
            cause.kind != refusal_kind::not_run, cause.retry_after};
}

std::string write_rpc_error(const rpc_error& error)
{
    return "{\"code\":" + json_quoted(name_of(error.code)) +
           ",\"message\":" + json_quoted(error.message) +
           ",\"may_have_run\":" + (error.may_have_run ? "true" : "false") + '}';
}

rpc_error parse_rpc_error(std::string_view body, int http_status)
{
    rpc_error unknown_error{rpc_code::unknown,
                            "HTTP status " + std::to_string(http_status),
                            http_status >= 500};
    try {
        const auto object = Poco::JSON::Parser()
                                .parse(std::string(body))
                                .extract<Poco::JSON::Object::Ptr>();
        const auto code = parse_rpc_code(object->getValue<std::string>("code"));
        if (!code)
            return unknown_error;
        return {*code, object->optValue<std::string>("message", {}),
                object->optValue("may_have_run", http_status >= 500)};
    } catch (const Poco::Exception&) {
        return unknown_error;
    }
}

} // namespace cyclamenrun
