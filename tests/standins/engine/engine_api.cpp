#include "engine_api.hpp"

#include "digest.hpp"

#include <optional>
#include <ostream>

namespace cyclamenrun::stand_in
{
namespace
{

constexpr std::uint64_t default_max_tokens = 65536;
/** Interval of checks for a disconnected caller between tokens. */
constexpr std::chrono::milliseconds caller_check(20);

/** Returns the prompt, or the joined contents of all messages. */
std::optional<std::string> prompt_of(const Poco::JSON::Object& body)
{
    if (auto prompt = json_string(body, "prompt"))
        return prompt;
    const auto messages = json_array(body, "messages");
    if (!messages)
        return {};
    std::string prompt;
    for (std::size_t at = 0; at < messages->size(); ++at) {
        const auto message = messages->getObject(at);
        if (message)
            prompt += json_string(*message, "content").value_or("");
    }
    return prompt;
}

run_parameters parse_run_parameters(const Poco::JSON::Object& body,
                                    std::string prompt)
{
    run_parameters parameters;
    parameters.request_id = json_string(body, "request_id").value_or("");
    parameters.prompt = std::move(prompt);
    parameters.max_tokens =
        json_u64(body, "max_tokens").value_or(default_max_tokens);
    const auto priority = body.get("priority");
    if (priority.isInteger())
        parameters.priority = priority.convert<std::int64_t>();
    if (const auto stand_in_options = json_object(body, "stand_in")) {
        parameters.output_tokens = json_u64(*stand_in_options, "output_tokens");
        parameters.crash_at_token =
            json_u64(*stand_in_options, "crash_at_token");
    }
    return parameters;
}

Poco::JSON::Object::Ptr choice_of(const std::string& text,
                                  const std::string& finish_reason, bool chat,
                                  bool streamed)
{
    Poco::JSON::Object::Ptr choice = new Poco::JSON::Object;
    choice->set("index", 0);
    if (chat) {
        Poco::JSON::Object::Ptr message = new Poco::JSON::Object;
        message->set("content", text);
        choice->set(streamed ? "delta" : "message", message);
    } else {
        choice->set("text", text);
    }
    if (finish_reason.empty())
        choice->set("finish_reason", Poco::Dynamic::Var());
    else
        choice->set("finish_reason", finish_reason);
    return choice;
}

Poco::JSON::Object chunk_of(const std::string& id, const std::string& text,
                            const std::string& finish_reason, bool chat,
                            bool streamed)
{
    Poco::JSON::Array::Ptr choices = new Poco::JSON::Array;
    choices->add(choice_of(text, finish_reason, chat, streamed));
    Poco::JSON::Object chunk;
    chunk.set("id", id);
    chunk.set("object", chat ? "chat.completion.chunk" : "text_completion");
    chunk.set("choices", choices);
    return chunk;
}

} // namespace

engine_api::engine_api(engine_core& core, history& events)
    : core_(core), events_(events), epoch_(random_u64() | 1)
{
}

void engine_api::handle(server_request& request, server_response& response)
{
    response.set("X-Engine-Epoch", std::to_string(epoch_));
    const auto path = path_of(request);
    if (path == "/v1/completions" || path == "/v1/chat/completions")
        return complete(request, response);
    if (path == "/v1/cancel")
        return cancel(request, response);
    if (path == "/v1/orders")
        return order(request, response);
    if (path == "/v1/runs")
        return runs(response);
    if (path == "/v1/load")
        return load(response);
    if (path == "/v1/cache_events")
        return cache_events(request, response);
    if (path == "/stand-in/history")
        return answer(response, 200, events_.text(), "application/x-ndjson");
    if (path == "/stand-in/fault")
        return set_fault(request, response);
    answer(response, 404, "{}");
}

void engine_api::complete(server_request& request, server_response& response)
{
    if (const int status = refuse_status_) {
        if (rest_s_ != 0)
            response.set("Retry-After", std::to_string(rest_s_));
        return answer(response, status, "{}");
    }
    const auto body = parse_json_object(body_of(request));
    auto prompt = body ? prompt_of(*body) : std::nullopt;
    if (!prompt)
        return answer(response, 400, R"({"error":"no prompt"})");
    const bool chat = path_of(request) == "/v1/chat/completions";
    const auto run =
        core_.start(parse_run_parameters(*body, std::move(*prompt)));
    if (body->optValue("stream", false))
        stream(request, response, *run, chat);
    else
        answer_unstreamed(request, response, *run, chat);
}

void engine_api::stream(server_request& request, server_response& response,
                        engine_run& run, bool chat)
{
    response.setChunkedTransferEncoding(true);
    response.setContentType("text/event-stream");
    const auto& id = run.parameters.request_id;
    const std::string shown_id = foreign_id_ ? "another" : id;
    std::ostream& out = response.send();
    out.flush();
    const auto end_at = end_at_token_.load();
    for (std::uint64_t sent = 0;;) {
        const auto step = run.next(caller_check);
        if (!out || caller_disconnected(request)) {
            core_.cancel(id, "caller gone");
            return;
        }
        if (!step)
            continue;
        if (end_at != 0 && sent == end_at) {
            core_.cancel(id, "ended by a fault");
            close_unanswered(request);
            return;
        }
        if (step->finish_reason == "cancelled") {
            close_unanswered(request);
            return;
        }
        out << "data: "
            << to_string(chunk_of(shown_id, step->token.value_or(""),
                                  step->finish_reason, chat, true))
            << "\n\n";
        if (!step->finish_reason.empty())
            break;
        ++sent;
        out.flush();
    }
    out << "data: [DONE]\n\n";
    out.flush();
}

void engine_api::answer_unstreamed(server_request& request,
                                   server_response& response, engine_run& run,
                                   bool chat)
{
    std::string text;
    for (;;) {
        auto step = run.next(caller_check);
        if (caller_disconnected(request)) {
            core_.cancel(run.parameters.request_id, "caller gone");
            return;
        }
        if (!step)
            continue;
        text += step->token.value_or("");
        if (step->finish_reason.empty())
            continue;
        if (step->finish_reason == "cancelled")
            return close_unanswered(request);
        return answer(response, 200,
                      to_string(chunk_of(run.parameters.request_id, text,
                                         step->finish_reason, chat, false)));
    }
}

void engine_api::cancel(server_request& request, server_response& response)
{
    const auto body = parse_json_object(body_of(request));
    const auto id = body ? json_string(*body, "request_id") : std::nullopt;
    if (!id)
        return answer(response, 400, "{}");
    const bool found = core_.cancel(*id, "asked to");
    answer(response, 200, found ? R"({"found":true})" : R"({"found":false})");
}

void engine_api::order(server_request& request, server_response& response)
{
    const auto body = parse_json_object(body_of(request));
    const auto fence = body ? json_u64(*body, "fence") : std::nullopt;
    const auto action = body ? json_string(*body, "action") : std::nullopt;
    if (!fence || !action)
        return answer(response, 400, "{}");
    const std::lock_guard guard(fence_lock_);
    const bool refused =
        *fence < highest_fence_ && !core_.options().ignore_fence;
    Poco::JSON::Object line;
    line.set("event", refused ? "order_refused" : "order");
    line.set("fence", *fence);
    line.set("action", *action);
    line.set("value", json_string(*body, "value").value_or(""));
    events_.add(line);
    if (refused)
        return answer(response, 409, R"({"error":"old fence"})");
    highest_fence_ = std::max(highest_fence_, *fence);
    answer(response, 200, "{}");
}

void engine_api::runs(server_response& response)
{
    Poco::JSON::Array::Ptr ids = new Poco::JSON::Array;
    for (const auto& id : core_.run_ids())
        ids->add(id);
    Poco::JSON::Object body;
    body.set("runs", ids);
    answer(response, 200, to_string(body));
}

void engine_api::load(server_response& response)
{
    const auto sample = core_.load();
    Poco::JSON::Object body;
    body.set("running", sample.running);
    body.set("waiting", sample.waiting);
    body.set("memory_tokens_used", sample.memory_tokens_used);
    body.set("memory_tokens_total", core_.options().memory_tokens);
    answer(response, 200, to_string(body));
}

void engine_api::cache_events(server_request& request,
                              server_response& response)
{
    Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
    for (const auto& event :
         core_.cache().events(query_number(request, "from"))) {
        Poco::JSON::Object::Ptr line = new Poco::JSON::Object;
        line->set("offset", event.offset);
        line->set("action", event.stored ? "stored" : "removed");
        line->set("block", event.block);
        list->add(line);
    }
    Poco::JSON::Object body;
    body.set("events", list);
    answer(response, 200, to_string(body));
}

/** Sets the faults that the body names; 0 or false clears a fault. */
void engine_api::set_fault(server_request& request, server_response& response)
{
    const auto body = parse_json_object(body_of(request));
    if (!body)
        return answer(response, 400, "{}");
    if (const auto count = json_u64(*body, "die_at_token"))
        core_.die_at_token(*count);
    if (const auto span = json_u64(*body, "stall_ms"))
        core_.stall(std::chrono::milliseconds(*span));
    if (const auto factor = json_u64(*body, "slow_factor"))
        core_.slow_down(
            static_cast<double>(std::max<std::uint64_t>(*factor, 1)));
    if (const auto count = json_u64(*body, "end_at_token"))
        end_at_token_ = *count;
    if (const auto status = json_u64(*body, "refuse_status"))
        refuse_status_ = static_cast<int>(*status);
    if (const auto rest = json_u64(*body, "rest_s"))
        rest_s_ = *rest;
    foreign_id_ = body->optValue("foreign_id", foreign_id_.load());
    answer(response, 200, "{}");
}

} // namespace cyclamenrun::stand_in
