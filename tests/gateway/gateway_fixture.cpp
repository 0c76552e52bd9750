#include "gateway_fixture.hpp"

#include "http_dialect.hpp"

#include <Poco/Net/NetException.h>
#include <algorithm>
#include <array>
#include <thread>

namespace cyclamenrun::testing_support
{

namespace
{

constexpr std::chrono::seconds wait_timeout{10};
constexpr std::size_t max_answer_bytes = std::size_t(64) << 20;

gateway_route route(const std::string& prefix, const std::string& service)
{
    gateway_route result;
    result.name = prefix;
    result.host = "test.example";
    result.path_prefix = prefix;
    result.services = {{service, 1}};
    result.timeout = milliseconds(8000);
    result.objective = milliseconds(500);
    return result;
}

gateway_route stream_route(const std::string& prefix, bool resumable)
{
    auto result = route(prefix, "model");
    result.shape = answer_shape::event_stream;
    result.resumable = resumable;
    result.max_attempts = resumable ? 2 : 1;
    result.gap_target = milliseconds(200);
    return result;
}

} // namespace

test_caller::test_caller(const std::string& address)
    : socket_(Poco::Net::SocketAddress(address))
{
    socket_.setNoDelay(true);
    socket_.setReceiveTimeout(Poco::Timespan(wait_timeout.count(), 0));
    start();
}

test_caller::test_caller(const std::string& address, int receive_buffer)
    : socket_(Poco::Net::SocketAddress(address).family())
{
    // Only a buffer that is set before the connection bounds its window.
    socket_.setReceiveBufferSize(receive_buffer);
    socket_.connect(Poco::Net::SocketAddress(address));
    socket_.setNoDelay(true);
    socket_.setReceiveTimeout(Poco::Timespan(wait_timeout.count(), 0));
    start();
}

void test_caller::start()
{
    answer_ = {};
    reader_ = std::make_unique<http_reader>(
        http_message_kind::response,
        http_limits{.body_bytes = max_answer_bytes},
        http_reader::hooks{
            [this](http_head&& head) { answer_.head = std::move(head); },
            [this](std::string_view bytes) { answer_.body += bytes; },
            [this] { answer_.whole = true; }});
}

void test_caller::send(const std::string& bytes)
{
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

bool test_caller::receive()
{
    std::array<char, 4096> bytes{};
    try {
        const auto count = socket_.receiveBytes(bytes.data(), bytes.size());
        if (count <= 0) {
            (void)reader_->end_of_connection();
            return false;
        }
        const bool parsed =
            reader_->feed({bytes.data(), static_cast<std::size_t>(count)})
                .has_value();
        answer_.malformed = !parsed;
        return parsed;
    } catch (const Poco::Exception&) {
        return false; // connection reset, or receive timeout
    }
}

caller_answer test_caller::read()
{
    while (!answer_.whole && receive()) {
    }
    auto answer = answer_;
    const bool more = reader_->complete();
    answer_ = {};
    if (more)
        (void)reader_->next_message();
    return answer;
}

bool test_caller::wait_for_body(const std::string& text)
{
    while (answer_.body.find(text) == std::string::npos) {
        if (answer_.whole || !receive())
            return answer_.body.find(text) != std::string::npos;
    }
    return true;
}

gateway_fixture::gateway_fixture()
{
    settings.name = "gateway-1";
    settings.failure_domain = "d1";
    settings.listen = {"127.0.0.1", 0};
    settings.ready_listen = {"127.0.0.1", 0};
    settings.upstream_pause = milliseconds(10);
    // A process starts with an empty budget, which fills at once.
    settings.retry_extra = 1e6;
    settings.balancer_wait = milliseconds(50);
}

gateway_fixture::~gateway_fixture()
{
    gateway.reset();
}

gateway_configuration gateway_fixture::configuration() const
{
    gateway_configuration result;
    result.version = 1;
    result.routes = {route("/plain/", "app"), route("/safe/", "app"),
                     stream_route("/gen/", false), stream_route("/res/", true)};
    result.routes[1].idempotent = true;
    result.routes[1].max_attempts = 2;
    result.has_teams = true;
    gateway_team team;
    team.name = "north";
    team.keys = {secret("k1")};
    result.teams = {team};
    gateway_service model;
    model.name = "model";
    model.engine = engine_traits{};
    model.engine->slots = 8;
    model.engine->memory_tokens = 100000;
    model.engine->moves = true;
    model.engine->backups = true;
    result.services = {gateway_service{"app", {}}, model};
    return result;
}

void gateway_fixture::start(bool configured)
{
    gateway_platform platform;
    platform.dialect = std::make_shared<platform::http_dialect>();
    platform.configurations = [this](const std::shared_ptr<link_reactor>& on,
                                     const ip_endpoint&) {
        configurations =
            std::make_shared<pushed_feed<configuration_record>>(on);
        return configurations;
    };
    platform.upstreams = [this](const std::shared_ptr<link_reactor>& on,
                                const ip_endpoint&) {
        changes = std::make_shared<pushed_feed<upstream_change>>(on);
        return changes;
    };
    gateway = std::make_unique<gateway_process>(settings, platform, [this] {
        return settings_outcome<gateway_settings>(settings);
    });
    if (configured)
        apply(configuration());
}

void gateway_fixture::apply(gateway_configuration configuration)
{
    const auto wanted =
        "\"configuration_version\":" + std::to_string(configuration.version) +
        ",";
    configurations->push(std::move(configuration));
    const auto deadline = steady_now() + wait_timeout;
    while (state().find(wanted) == std::string::npos && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
}

void gateway_fixture::evacuate(const std::string& failure_domain,
                               bool evacuated)
{
    configurations->push(evacuation_change{failure_domain, evacuated});
    const auto is_known = [&] {
        const auto text = state();
        const auto list = text.substr(text.find("\"evacuated_domains\":["));
        const auto named =
            list.substr(0, list.find(']')).find('"' + failure_domain + '"');
        return (named != std::string::npos) == evacuated;
    };
    const auto deadline = steady_now() + wait_timeout;
    while (!is_known() && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
}

fake_upstream& gateway_fixture::add(const std::string& id,
                                    fake_upstream::script respond,
                                    const std::string& service,
                                    const std::string& host)
{
    upstreams.push_back(
        std::make_unique<fake_upstream>(std::move(respond), host));
    upstreams.back()->rejects_load_requests = true;
    upstream_record record;
    record.id = id;
    record.service = service;
    record.address = upstreams.back()->address();
    record.failure_domain = domain;
    record.slots = 8;
    record.version = version;
    record.started_ms = started_ms;
    records.push_back(record);
    publish_record(record);
    wait_for_upstreams(records.size());
    return *upstreams.back();
}

void gateway_fixture::publish_record(const upstream_record& record)
{
    changes->push({record.id, record});
}

void gateway_fixture::remove_upstream(const std::string& id)
{
    changes->push({id, std::nullopt});
}

void gateway_fixture::drain(const std::string& id)
{
    const auto found =
        std::find_if(records.begin(), records.end(),
                     [&](const auto& record) { return record.id == id; });
    auto record = *found;
    record.draining = true;
    publish_record(record);
}

void gateway_fixture::wait_for_upstreams(std::size_t count)
{
    const auto wanted = "\"upstreams\":" + std::to_string(count) + ",";
    const auto deadline = steady_now() + wait_timeout;
    while (state().find(wanted) == std::string::npos && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
}

std::string gateway_fixture::request(const std::string& path,
                                     const std::string& key,
                                     const std::string& extra_fields,
                                     const std::string& body)
{
    return "POST " + path + " HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: r" +
           std::to_string(++last_id) + "\r\nAuthorization: Bearer " + key +
           "\r\nToken-Usage: 100,4000\r\nDeadline-Ms: 9000\r\n" + extra_fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

caller_answer gateway_fixture::send_request(const std::string& path,
                                            const std::string& key)
{
    test_caller caller(gateway->address());
    caller.send(request(path, key));
    return caller.read();
}

std::string gateway_fixture::state()
{
    test_caller caller(gateway->ready_address());
    caller.send("GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.read().body;
}

unsigned gateway_fixture::readiness()
{
    test_caller caller(gateway->ready_address());
    caller.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.read().status();
}

} // namespace cyclamenrun::testing_support
