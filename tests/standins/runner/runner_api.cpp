#include "runner_api.hpp"

namespace cyclamenrun::stand_in
{
namespace
{

/** Returns the request id of the body, or else of the header. */
std::string request_id_of(const server_request& request,
                          const std::string& body)
{
    const auto document = parse_json_object(body);
    if (document) {
        if (auto id = json_string(*document, "request_id"))
            return *id;
    }
    return request.get("X-Request-Id", "");
}

} // namespace

void runner_api::handle(server_request& request, server_response& response)
{
    const auto path = path_of(request);
    if (path == "/stand-in/history")
        return answer(response, 200, events_.text(), "application/x-ndjson");
    if (path == "/stand-in/fault")
        return set_fault(request, response);
    if (request.getMethod() != "POST")
        return answer(response, 404, "{}");
    call(request, response);
}

void runner_api::stop()
{
    const std::lock_guard guard(lock_);
    stopping_ = true;
    stopped_.notify_all();
}

void runner_api::call(server_request& request, server_response& response)
{
    const auto id = request_id_of(request, body_of(request));
    const auto faults = consume_faults();
    if (faults.leaving)
        response.set("X-Upstream-Leaving", "1");
    if (!faults.rest.empty()) {
        record("rejected", id, 0);
        response.set("Retry-After", faults.rest);
        return answer(response, 503, "{}");
    }
    const auto run = count_run();
    record("run", id, run);
    wait(delay_ + std::chrono::milliseconds(faults.late_ms));
    if (faults.lose_answers != 0) {
        record("answer_lost", id, run);
        return close_unanswered(request);
    }
    record("answered", id, run);
    Poco::JSON::Object body;
    body.set("request_id", id);
    body.set("run", run);
    body.set("result", faults.error_status == 0 ? "ok" : "error");
    const auto status =
        faults.error_status == 0 ? 200 : static_cast<int>(faults.error_status);
    if (faults.unframed)
        answer_unframed(response, status, to_string(body));
    else
        answer(response, status, to_string(body));
}

void runner_api::set_fault(server_request& request, server_response& response)
{
    const auto body = parse_json_object(body_of(request));
    if (!body)
        return answer(response, 400, "{}");
    const std::lock_guard guard(lock_);
    faults_.lose_answers =
        json_u64(*body, "lose_answers").value_or(faults_.lose_answers);
    faults_.late_ms = json_u64(*body, "late_ms").value_or(faults_.late_ms);
    faults_.error_status =
        json_u64(*body, "error_status").value_or(faults_.error_status);
    faults_.rest = json_string(*body, "rest").value_or("");
    faults_.leaving = json_u64(*body, "leaving").value_or(0) != 0;
    faults_.unframed = json_u64(*body, "unframed").value_or(0) != 0;
    answer(response, 200, "{}");
}

std::uint64_t runner_api::count_run()
{
    const std::lock_guard guard(lock_);
    return ++runs_;
}

/** Returns the faults for one call. Only lost answers are counted down. */
runner_faults runner_api::consume_faults()
{
    const std::lock_guard guard(lock_);
    auto consumed = faults_;
    if (faults_.lose_answers != 0)
        --faults_.lose_answers;
    return consumed;
}

void runner_api::wait(std::chrono::milliseconds span)
{
    std::unique_lock guard(lock_);
    stopped_.wait_for(guard, span, [this] { return stopping_; });
}

void runner_api::record(const char* event, const std::string& request_id,
                        std::uint64_t run)
{
    Poco::JSON::Object line;
    line.set("event", event);
    line.set("request_id", request_id);
    line.set("run", run);
    events_.add(line);
}

} // namespace cyclamenrun::stand_in
