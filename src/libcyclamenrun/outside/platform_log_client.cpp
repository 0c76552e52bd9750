#include "platform_log_client.hpp"

#include "http_json.hpp"

#include <Poco/Base64Decoder.h>
#include <Poco/JSON/Array.h>
#include <sstream>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr int ok_status = 200;
constexpr int gone_status = 410;
constexpr int too_large_status = 413;
constexpr int rate_limited_status = 429;
constexpr int unavailable_status = 503;
constexpr std::uint64_t max_retry_after_s = 3600;

tl::unexpected<log_error> fail(log_failure failure)
{
    return tl::unexpected(log_error{failure, {}, 0});
}

log_failure failure_of(const http_error& error)
{
    if (error.failure == http_failure::malformed ||
        error.failure == http_failure::too_large)
        return log_failure::malformed;
    return error.may_have_run ? log_failure::timed_out
                              : log_failure::unavailable;
}

milliseconds retry_after_of(const answer_head& head)
{
    const auto found = head.headers.find("retry-after");
    if (found == head.headers.end())
        return milliseconds(0);
    std::istringstream in(found->second);
    std::uint64_t seconds = 0;
    in >> seconds;
    return milliseconds(std::min(seconds, max_retry_after_s) * 1000);
}

std::uint64_t first_retained_of(const std::string& body)
{
    const auto document = parse_json_object(body);
    if (!document)
        return 0;
    return json_u64(*document, "first_retained").value_or(0);
}

log_error error_of(const http_answer& answer)
{
    switch (answer.head.status) {
    case rate_limited_status:
        return {log_failure::rate_limited, retry_after_of(answer.head), 0};
    case too_large_status:
        return {log_failure::too_large, {}, 0};
    case gone_status:
        return {log_failure::retained_away, {}, first_retained_of(answer.body)};
    case unavailable_status:
        return {log_failure::unavailable, {}, 0};
    default:
        return {log_failure::malformed, {}, 0};
    }
}

std::optional<std::string> decode_base64(const std::string& text)
{
    try {
        std::istringstream in(text);
        Poco::Base64Decoder decoder(in);
        std::ostringstream out;
        out << decoder.rdbuf();
        return out.str();
    } catch (const std::exception&) {
        return {};
    }
}

std::optional<platform_log_record>
record_of(const Poco::JSON::Object::Ptr& object)
{
    if (!object)
        return {};
    const auto offset = json_u64(*object, "offset");
    const auto data = json_string(*object, "data");
    if (!offset || !data)
        return {};
    auto bytes = data->empty() ? std::string() : decode_base64(*data);
    if (!bytes)
        return {};
    return platform_log_record{*offset, std::move(*bytes)};
}

/** Offsets must ascend from `from`, or a reader could apply a record twice. */
std::optional<log_page> page_of(const std::string& body, std::uint64_t from)
{
    const auto document = parse_json_object(body);
    if (!document)
        return {};
    const auto first = json_u64(*document, "first_retained");
    const auto next = json_u64(*document, "next");
    const auto records = json_array(*document, "records");
    if (!first || !next || !records)
        return {};
    log_page page{*first, *next, {}};
    for (std::size_t at = 0; at < records->size(); ++at) {
        auto record = record_of(records->getObject(at));
        if (!record || record->offset < from || record->offset >= *next)
            return {};
        from = record->offset + 1;
        page.records.push_back(std::move(*record));
    }
    return page;
}

} // namespace

platform_log_client::platform_log_client(
    std::string address, const std::string& log, exchange_limits limits,
    milliseconds call_timeout, clock_function clock, cancellation* stop)
    : address_(std::move(address)), path_("/v1/logs/" + log + "/records"),
      limits_(std::move(limits)), call_timeout_(call_timeout),
      clock_(std::move(clock)), stop_(stop)
{
}

tl::expected<std::uint64_t, log_error>
platform_log_client::append(std::string_view data)
{
    const auto answer = call(
        {"POST", path_, "application/octet-stream", std::string(data), {}, {}},
        call_timeout_);
    if (!answer)
        return tl::unexpected(answer.error());
    const auto document = parse_json_object(answer->body);
    const auto offset = document ? json_u64(*document, "offset") : std::nullopt;
    if (!offset)
        return fail(log_failure::malformed);
    return *offset;
}

tl::expected<log_page, log_error> platform_log_client::read(std::uint64_t from,
                                                            std::uint32_t max,
                                                            milliseconds wait)
{
    const auto query = "?from=" + std::to_string(from) +
                       "&max=" + std::to_string(max) +
                       "&wait_ms=" + std::to_string(wait.count());
    const auto answer =
        call({"GET", path_ + query, "", "", {}, {}}, call_timeout_ + wait);
    if (!answer)
        return tl::unexpected(answer.error());
    auto page = page_of(answer->body, from);
    if (!page)
        return fail(log_failure::malformed);
    return std::move(*page);
}

tl::expected<http_answer, log_error>
platform_log_client::call(http_request request, milliseconds limit)
{
    request.deadline = clock_() + limit;
    http_exchange exchange(address_, limits_, clock_);
    auto answer = exchange.run(request, stop_);
    if (!answer)
        return fail(failure_of(answer.error()));
    if (answer->head.status != ok_status)
        return tl::unexpected(error_of(*answer));
    return std::move(*answer);
}

} // namespace cyclamenrun
