#include "caller_request.hpp"

#include "digest.hpp"
#include "http_json.hpp"
#include "number_limits.hpp"
#include "ticket_authority.hpp"

#include <algorithm>
#include <charconv>
#include <limits>

namespace cyclamenrun
{

namespace
{

// Limits of a service whose configuration sets none.
constexpr std::uint32_t default_max_output_tokens = 65536;
constexpr std::uint32_t default_max_prompt_tokens = 131072;
constexpr std::size_t bytes_per_token = 4; // an estimate
// Has to equal block_tokens in admission_settings and router_settings.
constexpr std::size_t tokens_per_block = 64;
constexpr std::size_t max_prefix_blocks = 64;
// Longest caller's id that becomes the beginning of a request id. The whole id
// then stays within the 128 bytes that an agent accepts.
constexpr std::size_t max_id_prefix_bytes = 64;

refusal invalid_request(std::string detail)
{
    return not_run(refusal_reason::bad_request, std::move(detail));
}

/**
 * Makes a unique request id. It begins with the caller's own id if that is
 * printable and short, so that the logs of all processes can be searched for
 * the caller's id.
 */
std::string make_request_id(const std::string& caller_id)
{
    const auto unique = std::to_string(random_u64());
    return is_usable_id(caller_id, max_id_prefix_bytes)
               ? caller_id + '~' + unique
               : unique;
}

outcome<time_point> deadline_of(const caller_headers& headers,
                                milliseconds default_value,
                                const caller_limits& limits, time_point now)
{
    if (headers.deadline_ms.empty())
        return now + default_value;
    std::int64_t left = 0;
    const auto* end = headers.deadline_ms.data() + headers.deadline_ms.size();
    const auto read = std::from_chars(headers.deadline_ms.data(), end, left);
    if (read.ec != std::errc{} || read.ptr != end)
        return tl::unexpected(
            invalid_request("X-Deadline-Ms must be a whole number"));
    if (left <= 0)
        return tl::unexpected(not_run(refusal_reason::deadline_passed,
                                      "X-Deadline-Ms must be positive"));
    return now + std::min(milliseconds(left), limits.max_deadline);
}

outcome<bool> flag_of(const std::string& value, bool default_value,
                      const char* name)
{
    if (value.empty())
        return default_value;
    if (value == "true" || value == "false")
        return value == "true";
    return tl::unexpected(
        invalid_request(std::string(name) + " must be true or false"));
}

outcome<void> set_idempotency_and_deadline(const caller_headers& headers,
                                           const v1::Service& service,
                                           const caller_limits& limits,
                                           bool idempotent_by_default,
                                           time_point now,
                                           relay_request& request)
{
    const auto flag =
        flag_of(headers.idempotent, idempotent_by_default, "X-Idempotent");
    if (!flag)
        return tl::unexpected(flag.error());
    request.idempotent = *flag;
    const auto default_value = service.default_deadline_ms() > 0
                                   ? milliseconds(service.default_deadline_ms())
                                   : limits.default_deadline;
    const auto deadline = deadline_of(headers, default_value, limits, now);
    if (!deadline)
        return tl::unexpected(deadline.error());
    request.deadline = *deadline;
    return {};
}

/**
 * The roles and texts of a chat's messages, or nothing if they are invalid. A
 * message is one part of the prompt.
 */
std::optional<std::vector<std::string>>
parts_of_messages(const Poco::JSON::Object& body)
{
    const auto messages = json_array(body, "messages");
    if (!messages || messages->size() == 0)
        return std::nullopt;
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < messages->size(); ++i) {
        const auto message = messages->getObject(static_cast<unsigned int>(i));
        if (!message)
            return std::nullopt;
        const auto role = json_string(*message, "role");
        const auto content = json_string(*message, "content");
        if (!role || !content)
            return std::nullopt;
        parts.push_back(*role + '\n' + *content + '\n');
    }
    return parts;
}

/** The paragraphs of a prompt, which end with empty lines. */
std::optional<std::vector<std::string>>
parts_of_prompt(const Poco::JSON::Object& body)
{
    const auto prompt = json_string(body, "prompt");
    if (!prompt)
        return std::nullopt;
    constexpr std::string_view end = "\n\n";
    std::vector<std::string> parts;
    std::size_t begin = 0;
    for (auto at = prompt->find(end); at != std::string::npos;
         at = prompt->find(end, begin)) {
        parts.push_back(prompt->substr(begin, at + end.size() - begin));
        begin = at + end.size();
    }
    parts.push_back(prompt->substr(begin));
    return parts;
}

outcome<std::uint32_t> max_tokens_of(const Poco::JSON::Object& body)
{
    if (!body.has("max_tokens"))
        return 0U;
    const auto requested = json_u64(body, "max_tokens");
    if (!requested || *requested == 0 || *requested > number_limits::tokens)
        return tl::unexpected(
            invalid_request("max_tokens must be a whole number from 1 to " +
                            std::to_string(number_limits::tokens)));
    return static_cast<std::uint32_t>(*requested);
}

outcome<bool> stream_of(const Poco::JSON::Object& body)
{
    if (!body.has("stream"))
        return false;
    const auto value = body.get("stream");
    if (!value.isBoolean())
        return tl::unexpected(invalid_request("stream must be true or false"));
    return value.convert<bool>();
}

outcome<delivery_mode> delivery_of(const std::string& header, bool stream)
{
    if (header.empty())
        return stream ? delivery_mode::stream : delivery_mode::whole;
    if (header == "whole")
        return delivery_mode::whole;
    if (header == "stream" && stream)
        return delivery_mode::stream;
    return tl::unexpected(invalid_request(
        "X-Delivery must be whole, or stream if the body sets stream"));
}

/** Sets `max_tokens` in the body, so that the engine enforces it. */
std::string body_for_engine(const std::string& body, std::uint32_t max_tokens)
{
    auto object = parse_json_object(body);
    object->set("max_tokens", max_tokens);
    return to_string(*object);
}

} // namespace

bool is_usable_id(const std::string& caller_id, std::size_t max_bytes)
{
    return !caller_id.empty() && caller_id.size() <= max_bytes &&
           std::all_of(caller_id.begin(), caller_id.end(), [](char character) {
               return character > ' ' && character < 127;
           });
}

std::uint32_t estimate_tokens(std::size_t bytes)
{
    return static_cast<std::uint32_t>(bytes / bytes_per_token + 1);
}

std::vector<std::uint64_t> prefix_blocks_of(const std::string& prompt)
{
    constexpr auto block_bytes = tokens_per_block * bytes_per_token;
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = 0;
    for (std::size_t start = 0; start + block_bytes <= prompt.size() &&
                                blocks.size() < max_prefix_blocks;
         start += block_bytes) {
        chain = hash64({prompt.data() + start, block_bytes}, chain);
        blocks.push_back(chain);
    }
    return blocks;
}

outcome<completion_body> parse_completion_body(completion_format format,
                                               const std::string& body,
                                               const caller_limits& limits)
{
    const auto object = parse_json_object(body);
    if (!object)
        return tl::unexpected(invalid_request("the body is not a JSON object"));
    completion_body parsed;
    const auto service = json_string(*object, "model");
    if (!service)
        return tl::unexpected(
            invalid_request("model must be the name of a service"));
    parsed.service = *service;

    const auto parts = format == completion_format::chat
                           ? parts_of_messages(*object)
                           : parts_of_prompt(*object);
    if (!parts)
        return tl::unexpected(invalid_request(
            format == completion_format::chat
                ? "messages must be a list of objects with role and content"
                : "prompt must be a string"));
    for (const auto& part : *parts)
        parsed.prompt += part;
    if (parsed.prompt.size() > limits.max_prompt_bytes)
        return tl::unexpected(
            not_run(refusal_reason::too_large, "the prompt is too large"));
    for (std::size_t i = 0; i + 1 < parts->size(); ++i)
        parsed.shared_parts.push_back(prompt_part_fingerprint((*parts)[i]));

    const auto max_tokens = max_tokens_of(*object);
    if (!max_tokens)
        return tl::unexpected(max_tokens.error());
    parsed.max_tokens = *max_tokens;
    const auto stream = stream_of(*object);
    if (!stream)
        return tl::unexpected(stream.error());
    parsed.stream = *stream;
    return parsed;
}

outcome<relay_request>
make_completion_request(completion_format format, const completion_body& parsed,
                        const std::string& body, const caller_headers& headers,
                        const v1::Service& service, const caller_limits& limits,
                        time_point now)
{
    if (service.kind() != v1::SERVICE_KIND_MODEL)
        return tl::unexpected(
            invalid_request("this service accepts calls, not completions"));
    const auto prompt_token_limit = service.max_prompt_tokens() > 0
                                        ? service.max_prompt_tokens()
                                        : default_max_prompt_tokens;
    const auto output_token_limit = service.max_output_tokens() > 0
                                        ? service.max_output_tokens()
                                        : default_max_output_tokens;
    relay_request request;
    request.id = make_request_id(headers.request_id);
    request.prompt_tokens = estimate_tokens(parsed.prompt.size());
    if (request.prompt_tokens > prompt_token_limit)
        return tl::unexpected(not_run(refusal_reason::too_large,
                                      "the prompt has too many tokens"));
    request.max_output_tokens =
        parsed.max_tokens == 0
            ? output_token_limit
            : std::min(parsed.max_tokens, output_token_limit);

    const auto delivery = delivery_of(headers.delivery, parsed.stream);
    if (!delivery)
        return tl::unexpected(delivery.error());
    request.delivery = *delivery;
    const auto applied = set_idempotency_and_deadline(headers, service, limits,
                                                      true, now, request);
    if (!applied)
        return tl::unexpected(applied.error());

    request.kind = link::WORK_KIND_GENERATION;
    request.service = service.name();
    request.path = format == completion_format::chat ? "/v1/chat/completions"
                                                     : "/v1/completions";
    request.body = body_for_engine(body, request.max_output_tokens);
    request.work = suspected_work(hash64(parsed.prompt, hash64(service.name())),
                                  parsed.shared_parts);
    request.prefix_blocks = prefix_blocks_of(parsed.prompt);
    return request;
}

outcome<relay_request> make_call_request(const std::string& body,
                                         const caller_headers& headers,
                                         const v1::Service& service,
                                         const caller_limits& limits,
                                         time_point now)
{
    if (service.kind() != v1::SERVICE_KIND_APPLICATION)
        return tl::unexpected(
            invalid_request("this service accepts completions, not calls"));
    if (!parse_json_object(body))
        return tl::unexpected(invalid_request("the body is not a JSON object"));
    relay_request request;
    request.id = make_request_id(headers.request_id);
    const auto applied = set_idempotency_and_deadline(headers, service, limits,
                                                      false, now, request);
    if (!applied)
        return tl::unexpected(applied.error());
    if (!headers.ticket.empty()) {
        const auto ticket = ticket_authority::from_text(headers.ticket);
        if (!ticket)
            return tl::unexpected(ticket.error());
        request.ticket = *ticket;
    }
    request.kind = link::WORK_KIND_CALL;
    request.delivery = delivery_mode::whole;
    request.service = service.name();
    request.path = "/calls";
    request.body = body;
    request.work = suspected_work(hash64(body, hash64(service.name())));
    return request;
}

outcome<relay_request> make_resume_request(const caller_headers& headers,
                                           const caller_limits& limits,
                                           time_point now)
{
    const auto position = parse_stream_position(headers.last_event_id);
    if (!position)
        return tl::unexpected(
            invalid_request("Last-Event-ID is not a position in a stream"));
    const auto deadline =
        deadline_of(headers, limits.default_deadline, limits, now);
    if (!deadline)
        return tl::unexpected(deadline.error());
    relay_request request;
    request.id = make_request_id(headers.request_id);
    request.deadline = *deadline;
    request.resume_after = *position;
    return request;
}

} // namespace cyclamenrun
