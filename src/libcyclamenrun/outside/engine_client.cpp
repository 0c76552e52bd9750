#include "engine_client.hpp"

#include "cancellation.hpp"
#include "engine_stream.hpp"
#include "http_json.hpp"
#include "sse_parser.hpp"

#include <Poco/JSON/Array.h>
#include <array>
#include <charconv>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr auto json_type = "application/json";
constexpr int ok_status = 200;
constexpr int unavailable_status = 503;
constexpr int server_error_status = 500;

constexpr std::array<std::string_view, 9> failure_names{
    "connect_failed", "lost_before_answer", "lost_mid_stream",
    "bad_status",     "malformed",          "timed_out",
    "cancelled",      "too_large",          "epoch_changed"};

constexpr std::array<std::string_view, 4> action_names{
    "load_model", "load_adapter", "load_version", "set_role"};

engine_failure failure_of(http_failure failure)
{
    switch (failure) {
    case http_failure::connect_failed:
        return engine_failure::connect_failed;
    case http_failure::lost_before_answer:
        return engine_failure::lost_before_answer;
    case http_failure::lost_mid_answer:
        return engine_failure::lost_mid_stream;
    case http_failure::malformed:
        return engine_failure::malformed;
    case http_failure::timed_out:
        return engine_failure::timed_out;
    case http_failure::cancelled:
        return engine_failure::cancelled;
    case http_failure::too_large:
    case http_failure::no_room:
        return engine_failure::too_large;
    }
    return engine_failure::malformed;
}

tl::unexpected<engine_error> to_engine_error(const http_error& error)
{
    return tl::unexpected(engine_error{failure_of(error.failure), 0,
                                       error.may_have_run, error.detail});
}

/** An engine that answers 4xx or 503 has not started the work. */
tl::unexpected<engine_error> status_error(const answer_head& head)
{
    const int status = head.status;
    const bool may_have_run =
        status >= server_error_status && status != unavailable_status;
    return tl::unexpected(engine_error{engine_failure::bad_status,
                                       status,
                                       may_have_run,
                                       {},
                                       notice_of(head).rest});
}

tl::unexpected<engine_error> malformed(std::string detail)
{
    return tl::unexpected(
        engine_error{engine_failure::malformed, 0, true, std::move(detail)});
}

std::uint64_t epoch_of(const answer_head& head)
{
    const auto found = head.headers.find("x-engine-epoch");
    if (found == head.headers.end())
        return 0;
    const auto& text = found->second;
    std::uint64_t epoch = 0;
    const auto result =
        std::from_chars(text.data(), text.data() + text.size(), epoch);
    return result.ec == std::errc() ? epoch : 0;
}

std::string body_for(const engine_request& request,
                     Poco::JSON::Object& document)
{
    document.set("request_id", request.request_id);
    document.set("stream", true);
    document.set("priority", request.priority);
    return to_string(document);
}

/** Reads events until the stream's end marker or an error. */
tl::expected<void, engine_error> read_stream(http_exchange& exchange,
                                             engine_stream& stream)
{
    sse_parser parser;
    const auto on_event = [&stream](sse_event&& event) {
        return stream.handle_event(event);
    };
    while (!stream.finished() && !stream.error()) {
        const auto bytes = exchange.read();
        if (!bytes)
            return to_engine_error(bytes.error());
        if (bytes->empty())
            return tl::unexpected(
                engine_error{engine_failure::lost_mid_stream, 0, true,
                             "the stream ended before [DONE]"});
        if (const auto fed = parser.feed(*bytes, on_event); !fed)
            return tl::unexpected(
                engine_error{engine_failure::too_large, 0, true,
                             std::string(name_of(fed.error()))});
    }
    return {};
}

} // namespace

std::string_view name_of(engine_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

std::string_view name_of(engine_action action)
{
    return action_names.at(static_cast<std::size_t>(action));
}

engine_client::engine_client(std::string address, exchange_limits limits,
                             clock_function clock)
    : address_(std::move(address)), limits_(std::move(limits)),
      clock_(std::move(clock))
{
}

tl::expected<engine_result, engine_error>
engine_client::run(const engine_request& request, const engine_events& events,
                   cancellation& cancel)
{
    auto document = parse_json_object(request.body);
    if (!document)
        return tl::unexpected(engine_error{engine_failure::malformed, 0, false,
                                           "the body is not a JSON object"});
    http_exchange exchange(address_, limits_, clock_);
    const auto head = exchange.start({"POST",
                                      request.path,
                                      json_type,
                                      body_for(request, *document),
                                      {},
                                      request.deadline},
                                     &cancel);
    if (!head)
        return to_engine_error(head.error());
    const auto epoch = record_head(*head);
    if (request.expected_epoch != 0 && epoch != request.expected_epoch)
        return tl::unexpected(
            engine_error{engine_failure::epoch_changed, 0, true, {}});
    if (head->status != ok_status)
        return status_error(*head);
    engine_stream stream(request.request_id, events);
    if (const auto read_result = read_stream(exchange, stream); !read_result)
        return tl::unexpected(read_result.error());
    if (stream.error())
        return tl::unexpected(*stream.error());
    auto result = stream.result();
    result.engine_epoch = epoch;
    return result;
}

tl::expected<void, engine_error>
engine_client::cancel(const std::string& request_id, time_point deadline)
{
    Poco::JSON::Object document;
    document.set("request_id", request_id);
    const auto answer = call(
        {"POST", "/v1/cancel", json_type, to_string(document), {}, deadline});
    if (!answer)
        return tl::unexpected(answer.error());
    return {};
}

tl::expected<void, engine_error> engine_client::order(const engine_order& order)
{
    Poco::JSON::Object document;
    document.set("fence", order.fence);
    document.set("action", std::string(name_of(order.action)));
    document.set("value", order.value);
    const auto answer = call({"POST",
                              "/v1/orders",
                              json_type,
                              to_string(document),
                              {},
                              order.deadline});
    if (!answer)
        return tl::unexpected(answer.error());
    return {};
}

tl::expected<std::vector<std::string>, engine_error>
engine_client::runs(time_point deadline)
{
    const auto answer = call({"GET", "/v1/runs", "", "", {}, deadline});
    if (!answer)
        return tl::unexpected(answer.error());
    const auto document = parse_json_object(answer->body);
    const auto list =
        document ? json_array(*document, "runs") : Poco::JSON::Array::Ptr{};
    if (!list)
        return malformed("the answer has no list of runs");
    std::vector<std::string> ids;
    for (const auto& id : *list) {
        if (!id.isString())
            return malformed("the id of a run is not a string");
        ids.push_back(id.extract<std::string>());
    }
    return ids;
}

tl::expected<engine_load_report, engine_error>
engine_client::load(time_point deadline)
{
    const auto answer = call({"GET", "/v1/load", "", "", {}, deadline});
    if (!answer)
        return tl::unexpected(answer.error());
    const auto document = parse_json_object(answer->body);
    if (!document)
        return malformed("the load is not a JSON object");
    const auto running = json_u64(*document, "running", number_limits::count);
    const auto waiting = json_u64(*document, "waiting", number_limits::count);
    const auto used =
        json_u64(*document, "memory_tokens_used", number_limits::memory_tokens);
    const auto total = json_u64(*document, "memory_tokens_total",
                                number_limits::memory_tokens);
    if (!running || !waiting || !used || !total)
        return malformed("a member of the load is missing or invalid");
    return engine_load_report{static_cast<std::uint32_t>(*running),
                              static_cast<std::uint32_t>(*waiting), *used,
                              *total};
}

tl::expected<http_answer, engine_error>
engine_client::call(const http_request& request)
{
    http_exchange exchange(address_, limits_, clock_);
    auto answer = exchange.run(request);
    if (!answer)
        return to_engine_error(answer.error());
    record_head(answer->head);
    if (answer->head.status != ok_status)
        return status_error(answer->head);
    return std::move(*answer);
}

std::uint64_t engine_client::record_head(const answer_head& head)
{
    const auto epoch = epoch_of(head);
    if (epoch != 0)
        epoch_ = epoch;
    if (on_notice_)
        on_notice_(notice_of(head));
    return epoch;
}

} // namespace cyclamenrun
