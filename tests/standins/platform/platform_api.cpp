#include "platform_api.hpp"

#include <Poco/Base64Encoder.h>
#include <sstream>

namespace cyclamenrun::stand_in
{
namespace
{

constexpr std::string_view logs_prefix = "/v1/logs/";
constexpr std::string_view records_suffix = "/records";
constexpr std::string_view vms_prefix = "/v1/vms/";
constexpr std::string_view weights_prefix = "/v1/weights/";
constexpr std::uint64_t max_page_records = 1000;
constexpr std::uint64_t max_wait_ms = 60000;

std::string base64(const std::string& data)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << data;
    encoder.close();
    return out.str();
}

std::chrono::milliseconds query_wait(const server_request& request)
{
    return std::chrono::milliseconds(
        std::min(query_number(request, "wait_ms"), max_wait_ms));
}

void answer_rate_limited(server_response& response)
{
    response.set("Retry-After", "1");
    answer(response, 429, R"({"error":"rate"})");
}

std::string page_json(const stored_page& page)
{
    Poco::JSON::Array::Ptr records = new Poco::JSON::Array;
    for (const auto& record : page.records) {
        Poco::JSON::Object::Ptr line = new Poco::JSON::Object;
        line->set("offset", record.offset);
        line->set("data", base64(record.data));
        records->add(line);
    }
    Poco::JSON::Object body;
    body.set("first_retained", page.first_retained);
    body.set("next", page.next);
    body.set("records", records);
    return to_string(body);
}

std::string list_json(const vm_list& list)
{
    Poco::JSON::Array::Ptr vms = new Poco::JSON::Array;
    for (const auto& listed : list.vms) {
        Poco::JSON::Object::Ptr line = new Poco::JSON::Object;
        line->set("id", listed.id);
        line->set("address", listed.address);
        line->set("region", listed.region);
        line->set("failure_domain", listed.failure_domain);
        line->set("service", listed.service);
        line->set("state", std::string(name_of(listed.state)));
        vms->add(line);
    }
    Poco::JSON::Object body;
    body.set("revision", list.revision);
    body.set("vms", vms);
    return to_string(body);
}

} // namespace

platform_api::platform_api(const platform_options& options)
    : options_(options), vms_(std::chrono::milliseconds(options.list_lag_ms)),
      append_limit_(options.appends_per_second),
      weight_limit_(options.weights_per_second)
{
}

void platform_api::handle(server_request& request, server_response& response)
{
    const auto path = path_of(request);
    const std::string_view view(path);
    if (view.starts_with(logs_prefix) && view.ends_with(records_suffix)) {
        const auto name =
            view.substr(logs_prefix.size(), view.size() - logs_prefix.size() -
                                                records_suffix.size());
        return log(request, response, std::string(name));
    }
    if (path == "/v1/vms")
        return list(request, response);
    if (view.starts_with(vms_prefix))
        return change_vm(request, response, path.substr(vms_prefix.size()));
    if (view.starts_with(weights_prefix))
        return weights(request, response, path.substr(weights_prefix.size()));
    if (path == "/stand-in/history")
        return answer(response, 200, events_.text(), "application/x-ndjson");
    if (path == "/stand-in/fault")
        return set_fault(request, response);
    answer(response, 404, "{}");
}

void platform_api::stop()
{
    vms_.stop();
    const std::lock_guard guard(lock_);
    stopping_ = true;
    stopped_.notify_all();
    for (const auto& [name, log] : logs_)
        log->stop();
}

void platform_api::log(server_request& request, server_response& response,
                       const std::string& name)
{
    const auto current = faults();
    pause(std::chrono::milliseconds(current.slow_ms));
    if (current.log_out)
        return answer(response, 503, R"({"error":"out"})");
    if (request.getMethod() == "POST")
        append(request, response, name);
    else
        read(request, response, name);
}

void platform_api::append(server_request& request, server_response& response,
                          const std::string& name)
{
    auto data = body_of(request);
    if (data.size() > options_.max_record_bytes)
        return answer(response, 413, R"({"error":"too large"})");
    if (!append_limit_.try_acquire())
        return answer_rate_limited(response);
    const auto fault = consume_append_faults();
    auto& log = log_named(name);
    if (fault.duplicate_appends != 0)
        record("append", name, log.append(data));
    const auto offset = log.append(std::move(data));
    record("append", name, offset);
    if (fault.lose_append_answers != 0) {
        record("answer_lost", name, offset);
        return close_unanswered(request);
    }
    answer(response, 200, "{\"offset\":" + std::to_string(offset) + "}");
}

void platform_api::read(server_request& request, server_response& response,
                        const std::string& name)
{
    const auto from = query_number(request, "from");
    const auto max = std::clamp<std::uint64_t>(query_number(request, "max"), 1,
                                               max_page_records);
    const auto page = log_named(name).read(from, max, query_wait(request));
    // An outage that began during the wait fails the read.
    if (faults().log_out)
        return answer(response, 503, R"({"error":"out"})");
    if (from < page.first_retained)
        return answer(
            response, 410,
            "{\"first_retained\":" + std::to_string(page.first_retained) + "}");
    answer(response, 200, page_json(page));
}

void platform_api::list(server_request& request, server_response& response)
{
    const auto list =
        vms_.read(query_number(request, "after"), query_wait(request));
    if (faults().list_out)
        return answer(response, 503, R"({"error":"out"})");
    answer(response, 200, list_json(list));
}

void platform_api::change_vm(server_request& request, server_response& response,
                             const std::string& id)
{
    if (request.getMethod() == "DELETE") {
        vms_.remove(id);
        return answer(response, 200, "{}");
    }
    const auto body = parse_json_object(body_of(request));
    if (!body)
        return answer(response, 400, "{}");
    const auto text = [&body](const char* name) {
        return json_string(*body, name).value_or("");
    };
    vms_.put({id, text("address"), text("region"), text("failure_domain"),
              text("service"),
              vm_state_of(text("state")).value_or(vm_state::live)});
    answer(response, 200, "{}");
}

void platform_api::weights(server_request&, server_response& response,
                           const std::string& name)
{
    if (faults().weights_out)
        return answer(response, 503, R"({"error":"out"})");
    if (!weight_limit_.try_acquire()) {
        record("weights_limited", name, 0);
        return answer_rate_limited(response);
    }
    record("weights", name, 0);
    answer(response, 200, std::string(options_.weight_bytes, 'w'),
           "application/octet-stream");
}

/**
 * Sets the faults that the body names; the others stay as they are. `retain`
 * is no fault: it drops the oldest records of a log until that number is left.
 */
void platform_api::set_fault(server_request& request, server_response& response)
{
    const auto body = parse_json_object(body_of(request));
    if (!body)
        return answer(response, 400, "{}");
    if (const auto count = json_u64(*body, "retain"))
        log_named(json_string(*body, "log").value_or("")).retain(*count);
    const std::lock_guard guard(lock_);
    faults_.log_out = body->optValue("log_out", faults_.log_out);
    faults_.list_out = body->optValue("list_out", faults_.list_out);
    faults_.weights_out = body->optValue("weights_out", faults_.weights_out);
    faults_.slow_ms = json_u64(*body, "slow_ms").value_or(faults_.slow_ms);
    faults_.lose_append_answers = json_u64(*body, "lose_append_answers")
                                      .value_or(faults_.lose_append_answers);
    faults_.duplicate_appends = json_u64(*body, "duplicate_appends")
                                    .value_or(faults_.duplicate_appends);
    answer(response, 200, "{}");
}

stored_log& platform_api::log_named(const std::string& name)
{
    const std::lock_guard guard(lock_);
    auto& log = logs_[name];
    if (!log)
        log = std::make_unique<stored_log>(options_.retain_records);
    if (stopping_)
        log->stop();
    return *log;
}

platform_faults platform_api::faults() const
{
    const std::lock_guard guard(lock_);
    return faults_;
}

platform_faults platform_api::consume_append_faults()
{
    const std::lock_guard guard(lock_);
    const auto consumed = faults_;
    if (faults_.lose_append_answers != 0)
        --faults_.lose_append_answers;
    if (faults_.duplicate_appends != 0)
        --faults_.duplicate_appends;
    return consumed;
}

void platform_api::pause(std::chrono::milliseconds span)
{
    std::unique_lock guard(lock_);
    stopped_.wait_for(guard, span, [this] { return stopping_; });
}

void platform_api::record(const char* event, const std::string& name,
                          std::uint64_t offset)
{
    Poco::JSON::Object line;
    line.set("event", event);
    line.set("name", name);
    line.set("offset", offset);
    events_.add(line);
}

} // namespace cyclamenrun::stand_in
