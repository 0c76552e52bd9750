#include "gateway_fleet.hpp"

#include "../support/free_port.hpp"
#include "http_dialect.hpp"

#include <algorithm>
#include <thread>

namespace cyclamenrun::testing_support
{

namespace
{

/** Time in which what one gateway has learnt must reach the others. */
constexpr milliseconds learning_bound{3000};

} // namespace

gateway_fleet::~gateway_fleet()
{
    nodes_.clear();
}

void gateway_fleet::start_node(node& started)
{
    gateway_platform platform;
    platform.dialect = std::make_shared<platform::http_dialect>();
    platform.configurations = [&](const std::shared_ptr<link_reactor>& on,
                                  const ip_endpoint&) {
        started.configurations =
            std::make_shared<pushed_feed<configuration_record>>(on);
        return started.configurations;
    };
    platform.upstreams = [&](const std::shared_ptr<link_reactor>& on,
                             const ip_endpoint&) {
        started.changes = std::make_shared<pushed_feed<upstream_change>>(on);
        return started.changes;
    };
    started.process = std::make_unique<gateway_process>(
        started.settings, platform, [&started] {
            return settings_outcome<gateway_settings>(started.settings);
        });
    auto configured = configuration();
    configured.services[0].cold_rate = cold_rate;
    started.configurations->push(std::move(configured));
    for (const auto& record : records)
        started.changes->push({record.id, record});
}

void gateway_fleet::start_fleet(std::size_t count)
{
    const auto peers_port = free_port();
    for (std::size_t i = 0; i < count; ++i) {
        auto added = std::make_unique<node>();
        added->settings = settings;
        added->settings.name = "gateway-" + std::to_string(i + 1);
        added->settings.peers_listen = {"127.0.0." + std::to_string(i + 1),
                                        peers_port};
        added->settings.peer_seeds = {"127.0.0.1"};
        nodes_.push_back(std::move(added));
    }
    for (std::size_t i = 0; i < count; ++i) {
        start_node(*nodes_[i]);
        ASSERT_TRUE(wait_for_state(i, "\"configuration_version\":1,"));
    }
    ASSERT_TRUE(all_learn("\"peers\":" + std::to_string(count - 1) + ","));
}

void gateway_fleet::restart(std::size_t index)
{
    auto& restarted = *nodes_[index];
    restarted.process.reset();
    start_node(restarted);
    ASSERT_TRUE(wait_for_state(index, "\"configuration_version\":1,"));
    ASSERT_TRUE(wait_for_state(
        index, "\"upstreams\":" + std::to_string(records.size()) + ","));
}

fake_upstream& gateway_fleet::add_to_all(const std::string& id,
                                         fake_upstream::script respond,
                                         const std::string& service)
{
    upstreams.push_back(std::make_unique<fake_upstream>(std::move(respond)));
    auto& added = *upstreams.back();
    added.rejects_load_requests = true;
    upstream_record record;
    record.id = id;
    record.service = service;
    record.address = added.address();
    record.failure_domain = "d1";
    record.slots = 8;
    record.version = version;
    record.cold_until = cold_until;
    records.push_back(record);
    const auto wanted = "\"upstreams\":" + std::to_string(records.size()) + ",";
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        nodes_[i]->changes->push({record.id, record});
        EXPECT_TRUE(wait_for_state(i, wanted));
    }
    return added;
}

void gateway_fleet::remove_crashed()
{
    for (const auto& upstream : upstreams) {
        const auto crashed = std::find_if(
            records.begin(), records.end(), [&](const auto& record) {
                return upstream->crashed() &&
                       record.address == upstream->address();
            });
        if (crashed == records.end())
            continue;
        for (const auto& each : nodes_)
            each->changes->push({crashed->id, std::nullopt});
        records.erase(crashed);
    }
    EXPECT_TRUE(
        all_learn("\"upstreams\":" + std::to_string(records.size()) + ","));
}

caller_answer gateway_fleet::send_to(std::size_t index, const std::string& path,
                                     const std::string& body,
                                     const std::string& extra_fields)
{
    test_caller caller(nodes_[index]->process->address());
    caller.send(request(path, "k1", extra_fields, body));
    return caller.read();
}

void gateway_fleet::stop(std::size_t index)
{
    nodes_[index]->process.reset();
}

void gateway_fleet::remove_from_all(const std::string& id)
{
    std::erase_if(records,
                  [&](const upstream_record& each) { return each.id == id; });
    const auto wanted = "\"upstreams\":" + std::to_string(records.size()) + ",";
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!nodes_[i]->process)
            continue;
        nodes_[i]->changes->push({id, std::nullopt});
        EXPECT_TRUE(wait_for_state(i, wanted));
    }
}

std::string gateway_fleet::state_of(std::size_t index)
{
    test_caller caller(nodes_[index]->process->ready_address());
    caller.send("GET /state HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.read().body;
}

bool gateway_fleet::wait_for_state(std::size_t index, const std::string& text)
{
    const auto deadline = steady_now() + learning_bound;
    while (state_of(index).find(text) == std::string::npos) {
        if (steady_now() >= deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

bool gateway_fleet::all_learn(const std::string& text)
{
    const auto deadline = steady_now() + learning_bound;
    std::size_t known = 0;
    while (known < nodes_.size()) {
        if (state_of(known).find(text) != std::string::npos)
            ++known;
        else if (steady_now() >= deadline)
            return false;
        else
            std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

} // namespace cyclamenrun::testing_support
