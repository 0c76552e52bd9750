#include "deployment.hpp"

#include "key_hash.hpp"

#include <Poco/JSON/Array.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr auto link_key = "0123456789abcdef0123456789abcdef";
constexpr auto json_type = "application/json";
constexpr milliseconds poll_interval(10);
constexpr milliseconds wait_timeout(30000);

std::string quoted(const std::string& text)
{
    return '"' + text + '"';
}

std::string generation_body(const std::string& prompt,
                            std::uint64_t output_tokens)
{
    Poco::JSON::Object::Ptr stand_in = new Poco::JSON::Object;
    stand_in->set("output_tokens", output_tokens);
    Poco::JSON::Object body;
    body.set("model", std::string(model_service));
    body.set("prompt", prompt);
    body.set("stream", true);
    body.set("stand_in", stand_in);
    return to_string(body);
}

} // namespace

bool wait_until(const std::function<bool()>& condition)
{
    const auto deadline = steady_now() + wait_timeout;
    while (!condition()) {
        if (steady_now() >= deadline)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

deployment::deployment()
    : team_key_("team-a." + make_key().reveal()),
      operator_key_(make_key().reveal()),
      operator_hash_(to_string(make_key_hash(secret(operator_key_)))),
      platform_("platform", {})
{
    folder_.createDirectories();
}

upstream_processes& deployment::add_model(const std::string& name,
                                          std::vector<std::string> options)
{
    return add_upstream(name, model_service, "engine", std::move(options));
}

upstream_processes& deployment::add_runner(const std::string& name,
                                           std::vector<std::string> options)
{
    return add_upstream(name, application_service, "runner",
                        std::move(options));
}

upstream_processes& deployment::add_upstream(const std::string& name,
                                             const std::string& service,
                                             const std::string& stand_in,
                                             std::vector<std::string> options)
{
    auto added = std::make_unique<upstream_processes>();
    added->name = name;
    added->service = service;
    added->back_end =
        std::make_unique<stand_in_process>(stand_in, std::move(options));
    added->back_end_link =
        std::make_unique<tcp_relay>(added->back_end->address());
    upstreams_.push_back(std::move(added));
    auto& upstream = *upstreams_.back();
    start_agent(upstream);
    list_vm(name, upstream.agent_link->address(), service);
    return upstream;
}

void deployment::start_agent(upstream_processes& upstream)
{
    const bool model = upstream.service == model_service;
    const auto settings = write_file(
        upstream.name + ".toml",
        common_settings(upstream.name) +
            "service = " + quoted(upstream.service) +
            "\nlisten = \"127.0.0.1:0\"\n[platform]\naddress = " +
            quoted(platform_.address()) + "\n[upstream]\naddress = " +
            quoted(upstream.back_end_link->address()) +
            "\nkind = " + quoted(model ? "model" : "application") +
            "\n[replay]\nresume_grace_ms = 2000\n");
    upstream.agent = std::make_unique<child_process>(
        "cyclamenrun-agent", std::vector<std::string>{"--settings", settings});
    const auto address = upstream.agent->wait_until_ready();
    if (upstream.agent_link)
        upstream.agent_link->set_target(address);
    else
        upstream.agent_link = std::make_unique<tcp_relay>(address);
}

void deployment::restart_agent(upstream_processes& upstream)
{
    start_agent(upstream);
}

void deployment::restart_back_end(upstream_processes& upstream,
                                  std::vector<std::string> options)
{
    const bool model = upstream.service == model_service;
    upstream.back_end = std::make_unique<stand_in_process>(
        model ? "engine" : "runner", std::move(options));
    upstream.back_end_link->set_target(upstream.back_end->address());
}

entry_process& deployment::add_entry(const std::string& name)
{
    const auto settings = write_file(
        name + ".toml",
        common_settings(name) +
            "listen = \"127.0.0.1:0\"\noperator_listen = \"127.0.0.1:0\"\n"
            "operator_keys = [" +
            quoted(operator_hash_) +
            "]\n[platform]\naddress = " + quoted(platform_.address()) +
            "\n[routing]\nheartbeat_interval_ms = 100\nretry_share = 1\n"
            "[drain]\nbalancer_wait_ms = 100\n");
    auto added = std::make_unique<entry_process>();
    added->name = name;
    added->process = std::make_unique<child_process>(
        "cyclamenrun-entry", std::vector<std::string>{"--settings", settings});
    added->operator_address = added->process->wait_for_listener("operators");
    added->address = added->process->wait_until_ready();
    entries_.push_back(std::move(added));
    list_vm(name, entries_.back()->address, "entry");
    return *entries_.back();
}

void deployment::wait_until_ready()
{
    const auto resources = write_file(
        "resources.toml",
        "[[service]]\nname = " + quoted(model_service) +
            "\nkind = \"model\"\nmodel = \"dossier-8b\"\n"
            "objective = \"stall_time\"\n"
            "[[service]]\nname = " +
            quoted(application_service) +
            "\nkind = \"application\"\n"
            "[[team]]\nname = \"team-a\"\nkey_hash = " +
            quoted(to_string(make_key_hash(secret(team_key_)))) + "\n");
    // An entry refuses changes until it has read the platform's log once.
    const auto& first = *entries_.front();
    if (!wait_until([&] { return is_ready(first); }))
        throw std::runtime_error(first.name + " has read no configuration: " +
                                 first.process->output());
    if (const int status = run_ctl({"apply", "--wait", resources}))
        throw std::runtime_error("apply ended with " + std::to_string(status));
    for (const auto& entry : entries_) {
        const bool ready = wait_until([&] {
            if (!is_ready(*entry))
                return false;
            return std::all_of(
                upstreams_.begin(), upstreams_.end(), [&](const auto& added) {
                    return state_at(*entry, added->name) == "live";
                });
        });
        if (!ready)
            throw std::runtime_error(
                entry->name + " is not ready: " + entry->process->output());
    }
}

bool deployment::is_ready(const entry_process& entry)
{
    return request_answer(entry.address, "GET", "/readyz").head.status == 200;
}

int deployment::run_ctl(const std::vector<std::string>& command) const
{
    auto options = command;
    options.insert(options.begin(),
                   {"--entry", entries_.front()->operator_address});
    ::setenv("CYCLAMENRUN_OPERATOR_KEY", operator_key_.c_str(), 1);
    child_process command_run("cyclamenrunctl", options);
    const int status = command_run.wait();
    if (status != 0)
        std::cerr << command_run.errors();
    return status;
}

std::string deployment::state_at(const entry_process& entry,
                                 const std::string& upstream) const
{
    http_exchange exchange(entry.operator_address, {}, steady_now);
    const auto answer =
        exchange.run({"POST",
                      "/cyclamenrun.v1.QueryService/DumpState",
                      json_type,
                      "{}",
                      {{"Authorization", "Bearer " + operator_key_}},
                      steady_now() + test_limit});
    const auto body =
        answer ? parse_json_object(answer->body) : Poco::JSON::Object::Ptr{};
    const auto dump =
        body ? parse_json_object(json_string(*body, "json").value_or(""))
             : Poco::JSON::Object::Ptr{};
    const auto section =
        dump ? json_object(*dump, "upstreams") : Poco::JSON::Object::Ptr{};
    const auto list =
        section ? json_array(*section, "list") : Poco::JSON::Array::Ptr{};
    for (std::size_t at = 0; list && at < list->size(); ++at) {
        const auto item = list->getObject(at);
        if (json_string(*item, "upstream") == upstream)
            return json_string(*item, "state").value_or("");
    }
    return {};
}

caller_stream deployment::generate(const entry_process& entry,
                                   const std::string& prompt,
                                   std::uint64_t output_tokens) const
{
    return {entry.address,
            caller_request("POST", "/v1/completions",
                           generation_body(prompt, output_tokens))};
}

caller_stream deployment::resume(const entry_process& entry,
                                 const std::string& last_event_id) const
{
    auto request = caller_request("GET", "/v1/generations", "");
    request.headers["Last-Event-ID"] = last_event_id;
    return {entry.address, request};
}

std::optional<http_answer>
deployment::send_poison_request(const entry_process& entry) const
{
    const auto request =
        caller_request("POST", "/v1/completions",
                       R"({"model":"redactor","prompt":"poison",)"
                       R"("stand_in":{"output_tokens":9,"crash_at_token":2}})");
    http_exchange exchange(entry.address, {}, steady_now);
    const auto answer = exchange.run(request);
    if (!answer)
        return {};
    return *answer;
}

std::optional<http_answer> deployment::call(const entry_process& entry,
                                            const std::string& ticket,
                                            milliseconds time_limit) const
{
    auto request = caller_request(
        "POST", "/v1/services/" + std::string(application_service) + "/calls",
        R"({"sample":"S-17","line":4})");
    if (!ticket.empty())
        request.headers["X-Ticket"] = ticket;
    request.headers["X-Deadline-Ms"] = std::to_string(time_limit.count());
    request.accepts_unframed = true;
    http_exchange exchange(entry.address, {}, steady_now);
    const auto answer = exchange.run(request);
    if (!answer)
        return {};
    return *answer;
}

std::string deployment::request_ticket(const entry_process& entry) const
{
    const auto request = caller_request(
        "POST", "/v1/services/" + std::string(application_service) + "/tickets",
        "");
    http_exchange exchange(entry.address, {}, steady_now);
    const auto answer = exchange.run(request);
    const auto body =
        answer ? parse_json_object(answer->body) : Poco::JSON::Object::Ptr{};
    return body ? json_string(*body, "ticket").value_or("") : "";
}

upstream_processes& deployment::wait_for_event(const std::string& kind)
{
    upstream_processes* found = nullptr;
    wait_until([&] {
        for (const auto& upstream : upstreams_) {
            if (!upstream->back_end->history(kind).empty())
                found = upstream.get();
        }
        return found != nullptr;
    });
    if (found == nullptr)
        throw std::runtime_error("no upstream had an event " + kind);
    return *found;
}

std::size_t deployment::count_events(const std::string& kind) const
{
    std::size_t count = 0;
    for (const auto& upstream : upstreams_)
        count += upstream->back_end->history(kind).size();
    return count;
}

void deployment::list_vm(const std::string& id, const std::string& address,
                         const std::string& service,
                         const std::string& state) const
{
    request_answer(platform_.address(), "PUT", "/v1/vms/" + id,
                   "{\"address\":" + quoted(address) + ",\"service\":" +
                       quoted(service) + ",\"state\":" + quoted(state) +
                       R"(,"region":"cuyo","failure_domain":"san-juan"})");
}

std::string deployment::write_file(const std::string& name,
                                   const std::string& text)
{
    auto path = folder_.path() + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::string deployment::common_settings(const std::string& name) const
{
    return "name = " + quoted(name) +
           "\nregion = \"cuyo\"\nfailure_domain = \"san-juan\"\nlink_key = " +
           quoted(link_key) + "\n";
}

http_request deployment::caller_request(const std::string& method,
                                        const std::string& path,
                                        const std::string& body) const
{
    return {method,
            path,
            json_type,
            body,
            {{"Authorization", "Bearer " + team_key_}},
            steady_now() + wait_timeout};
}

} // namespace cyclamenrun::testing_support
