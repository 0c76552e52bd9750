#include "../support/free_port.hpp"
#include "gateway_fixture.hpp"
#include "scripted_monitor.hpp"

#include <algorithm>
#include <atomic>
#include <set>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

using notice = std::optional<v1::MonitorNotice>;

bool wants_start(const v1::MonitorRequest& request)
{
    return request.has_start_wanted();
}

bool ends_start(const v1::MonitorRequest& request)
{
    return !request.start_ended().empty();
}

/** While true, streams pause after their first event. */
std::atomic<bool> hold_streams = false;

void answer_with_short_stream(const arrived_request& request,
                              upstream_reply& reply)
{
    reply.begin_stream(request);
    reply.event(1);
    while (hold_streams)
        std::this_thread::sleep_for(milliseconds(2));
    reply.end_stream();
}

/** A gateway and two engines on separate hosts; tests add their monitors. */
class start_searches : public gateway_fixture
{
protected:
    start_searches()
    {
        port = free_port();
        settings.loads_listen = {"127.0.0.1", free_port()};
        settings.monitor_port = port;
        start();
        first_engine =
            &add("e1", answer_with_short_stream, "model", "127.0.0.1");
        second_engine =
            &add("e2", answer_with_short_stream, "model", "127.0.0.2");
    }

    std::unique_ptr<scripted_monitor> monitor(const std::string& host,
                                              scripted_monitor::script respond)
    {
        return std::make_unique<scripted_monitor>(host, port,
                                                  std::move(respond));
    }

    std::uint16_t port = 0;
    fake_upstream* first_engine = nullptr;
    fake_upstream* second_engine = nullptr;
};

/** Sends the same reply to every start request. */
template <typename Answer>
scripted_monitor::script answer_starts(Answer answer)
{
    return [answer](const v1::MonitorRequest& request) -> notice {
        if (!wants_start(request))
            return std::nullopt;
        return answer(request.start_wanted().id());
    };
}

scripted_monitor::script grant_all()
{
    return answer_starts([](const auto& id) { return start_given(id); });
}

scripted_monitor::script make_all_wait()
{
    return answer_starts([](const auto& id) { return start_waits(id); });
}

scripted_monitor::script pass_over_all()
{
    return answer_starts([](const auto& id) { return start_passed_over(id); });
}

TEST_F(start_searches, use_a_grant_and_release_the_others)
{
    const auto grants = monitor("127.0.0.1", grant_all());
    const auto waits = monitor("127.0.0.2", make_all_wait());
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_EQ(first_engine->arrived().size(), 1U);
    EXPECT_TRUE(second_engine->arrived().empty());
    EXPECT_TRUE(waits->wait_for(ends_start));
    EXPECT_TRUE(grants->wait_for([](const auto& request) {
        return wants_start(request) &&
               request.start_wanted().prompt_tokens() == 100 &&
               request.start_wanted().slots() == 8;
    }));
}

// Guards against a second run and against a leaked grant: both engines grant
// the start at the same time, one grant is used and the other must be released.
TEST_F(start_searches, use_one_of_two_grants_and_release_the_other)
{
    const auto first = monitor("127.0.0.1", grant_all());
    const auto second = monitor("127.0.0.2", grant_all());
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    const auto released = [&] {
        return first->count_of(ends_start) + second->count_of(ends_start) > 0;
    };
    const auto deadline = steady_now() + std::chrono::seconds(10);
    while (!released() && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(5));
    EXPECT_TRUE(released());
    EXPECT_EQ(first_engine->arrived().size() + second_engine->arrived().size(),
              1U);
}

// Guards against the slower of two granted starts: each token takes longer at
// the engine that runs more generations.
TEST_F(start_searches, use_the_better_of_two_grants)
{
    const auto busy =
        monitor("127.0.0.1", [](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            return start_given(request.start_wanted().id(), 7);
        });
    const auto idle = monitor("127.0.0.2", grant_all());
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_TRUE(first_engine->arrived().empty());
    EXPECT_EQ(second_engine->arrived().size(), 5U);
}

// Guards against a start at an engine where its prompt makes running streams
// late, though fewer generations run there.
TEST_F(start_searches, use_the_grant_that_makes_no_stream_late)
{
    const auto makes_late = monitor("127.0.0.1", answer_starts([](auto& id) {
                                        return start_given(id, 1, 0.5);
                                    }));
    const auto makes_none =
        monitor("127.0.0.2",
                answer_starts([](auto& id) { return start_given(id, 4); }));
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_TRUE(first_engine->arrived().empty());
    EXPECT_EQ(second_engine->arrived().size(), 5U);
}

// A monitor weighs the running streams by the gap target that it was told with
// their starts.
TEST_F(start_searches, tell_the_gap_target_of_the_route)
{
    const auto grants = monitor("127.0.0.1", grant_all());
    const auto waits = monitor("127.0.0.2", make_all_wait());
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_TRUE(grants->wait_for([](const auto& request) {
        return wants_start(request) &&
               request.start_wanted().gap_target_ms() == 200;
    }));
}

// Guards against a monitor that never learns how many tokens an event holds.
TEST_F(start_searches, tell_the_events_that_were_relayed)
{
    std::atomic<bool> told = false;
    remove_upstream("e1");
    remove_upstream("e2");
    add(
        "e3",
        [&](const arrived_request& request, upstream_reply& reply) {
            reply.begin_stream(request);
            for (int id = 1; id <= 500 && !told; ++id) {
                reply.event(id);
                std::this_thread::sleep_for(milliseconds(10));
            }
            reply.end_stream();
        },
        "model", "127.0.0.3");
    const auto grants =
        monitor("127.0.0.3", [&](const v1::MonitorRequest& request) -> notice {
            const auto& relayed = request.relayed_events();
            if (relayed.events() > 0 && relayed.total_ms() > 0)
                told = true;
            if (!wants_start(request))
                return std::nullopt;
            return start_given(request.start_wanted().id());
        });
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_TRUE(told);
}

// Guards against a dependency on monitors: all monitors are down while their
// engines work.
TEST_F(start_searches, use_load_estimates_when_no_monitor_responds)
{
    const auto began = steady_now();
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_LT(steady_now() - began, milliseconds(500));
}

/** Returns a script that streams, and reports a queue of this length. */
fake_upstream::script answer_with_queue(int queued)
{
    return [queued](const arrived_request& request, upstream_reply& reply) {
        if (request.head.target == "/report")
            reply.answer(request, 200,
                         R"({"active":2,"kv_used":100,"kv_total":100000,)"
                         R"("runs":[],"queued":)" +
                             std::to_string(queued) + "}");
        else
            answer_with_short_stream(request, reply);
    };
}

// Guards against prompts sent to busy engines without monitors: the gateway
// does not know the requests of other gateways, so it must query the engines'
// loads.
TEST_F(start_searches, query_engine_loads_when_no_monitor_responds)
{
    remove_upstream("e1");
    remove_upstream("e2");
    records.clear();
    auto& busy = add("e3", answer_with_queue(9), "model", "127.0.0.3");
    auto& idle = add("e4", answer_with_queue(0), "model", "127.0.0.4");
    for (auto* engine : {&busy, &idle})
        engine->rejects_load_requests = false;
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send_request("/gen/x").status(), 200U);
    const auto streams = [](const fake_upstream& engine) {
        const auto arrived = engine.arrived();
        return std::count_if(arrived.begin(), arrived.end(),
                             [](const arrived_request& request) {
                                 return request.head.target == "/gen/x";
                             });
    };
    EXPECT_EQ(streams(busy), 0);
    EXPECT_EQ(streams(idle), 5);
}

// Guards against a useless delay of each start while no monitor is reachable.
// Start requests must be sent again once a monitor responds.
TEST_F(start_searches, send_no_requests_while_no_monitor_responds)
{
    std::atomic<bool> responds = false;
    const auto respond = [&](const v1::MonitorRequest& request) -> notice {
        if (!responds)
            return std::nullopt;
        if (wants_start(request))
            return start_given(request.start_wanted().id());
        v1::MonitorNotice load;
        load.mutable_load()->set_engine_address(
            to_string(first_engine->address()));
        return load;
    };
    const auto first = monitor("127.0.0.1", respond);
    const auto second = monitor("127.0.0.2", respond);
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    const auto request_count = [&] {
        return first->count_of(wants_start) + second->count_of(wants_start);
    };
    EXPECT_GT(request_count(), 0U);
    // The gateway sends no requests once no monitor has responded for 3 s.
    std::this_thread::sleep_for(milliseconds(3200));
    const auto before = request_count();
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_EQ(request_count(), before);
    responds = true;
    const auto deadline = steady_now() + std::chrono::seconds(10);
    while (request_count() == before && steady_now() < deadline)
        EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_GT(request_count(), before);
}

// Guards against grants for a caller that has disconnected while all engines
// were full.
TEST_F(start_searches, end_when_the_caller_disconnects)
{
    const auto first = monitor("127.0.0.1", make_all_wait());
    const auto second = monitor("127.0.0.2", make_all_wait());
    {
        test_caller caller(gateway->address());
        caller.send(request("/gen/x"));
        ASSERT_TRUE(first->wait_for(wants_start));
        caller.disconnect();
    }
    EXPECT_TRUE(first->wait_for(ends_start));
    EXPECT_TRUE(second->wait_for(ends_start));
    EXPECT_TRUE(first_engine->arrived().empty());
}

// Guards against requests that wait until their deadline in vain: their team
// exceeds its fair share, and other teams have priority at both engines.
TEST_F(start_searches, refuse_a_passed_over_request_at_once)
{
    const auto first = monitor("127.0.0.1", pass_over_all());
    const auto second = monitor("127.0.0.2", pass_over_all());
    const auto began = steady_now();
    const auto answer = send_request("/gen/x");
    EXPECT_LT(steady_now() - began, std::chrono::seconds(2));
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_EQ(answer.body, R"({"error":"share_spent"})");
    EXPECT_GT(std::stod(answer.field("Retry-After")), 0);
    EXPECT_TRUE(first->wait_for(ends_start));
    EXPECT_TRUE(first_engine->arrived().empty() &&
                second_engine->arrived().empty());
}

// Guards against a premature refusal: only one of two engines passes over the
// request, and the other may have room later.
TEST_F(start_searches, wait_while_one_engine_may_have_room)
{
    const auto full = monitor("127.0.0.1", pass_over_all());
    std::atomic<int> requests = 0;
    const auto other =
        monitor("127.0.0.2", [&](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            return requests++ == 0 ? start_waits(request.start_wanted().id())
                                   : start_given(request.start_wanted().id());
        });
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_EQ(second_engine->arrived().size(), 1U);
}

// Guards against a lost grant: the start request is repeated.
TEST_F(start_searches, repeat_a_request_after_a_lost_datagram)
{
    std::atomic<int> requests = 0;
    const auto lossy =
        monitor("127.0.0.1", [&](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            // The grant that would follow this reply is lost.
            if (requests++ == 0)
                return start_waits(request.start_wanted().id());
            return start_given(request.start_wanted().id());
        });
    const auto waits = monitor("127.0.0.2", make_all_wait());
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_EQ(first_engine->arrived().size(), 1U);
}

// Guards against a start at an engine that leaves, before the directory reports
// it.
TEST_F(start_searches, avoid_an_engine_that_leaves)
{
    const auto leaves =
        monitor("127.0.0.1", [](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            return start_waits(request.start_wanted().id(), true);
        });
    std::atomic<bool> full = true;
    const auto other =
        monitor("127.0.0.2", [&](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            return full.exchange(false)
                       ? start_waits(request.start_wanted().id())
                       : start_given(request.start_wanted().id());
        });
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_TRUE(first_engine->arrived().empty());
    EXPECT_EQ(second_engine->arrived().size(), 1U);
}

// Guards against a request of one service that is sent to an engine of another
// one: its address is that of an engine that is gone, and its id tells nothing.
TEST_F(start_searches, use_no_process_that_the_directory_does_not_list)
{
    const auto reports_successor =
        monitor("127.0.0.1", [&](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            auto grant = start_given(request.start_wanted().id());
            grant.mutable_engine()->set_address(
                to_string(first_engine->address()));
            grant.mutable_engine()->set_id("e9");
            return grant;
        });
    const auto grants_later = monitor(
        "127.0.0.2",
        [asked = 0](const v1::MonitorRequest& request) mutable -> notice {
            if (!wants_start(request))
                return std::nullopt;
            const auto& id = request.start_wanted().id();
            return asked++ == 0 ? start_waits(id) : start_given(id);
        });
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    EXPECT_TRUE(first_engine->arrived().empty());
    EXPECT_EQ(second_engine->arrived().size(), 1U);
}

// Guards against a request addressed to a previous process: the engine has
// restarted, and the directory still lists its predecessor, whose requests the
// new process rejects.
TEST_F(start_searches, use_the_current_process_of_a_restarted_engine)
{
    const auto reports_successor =
        monitor("127.0.0.1", [&](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            auto grant = start_given(request.start_wanted().id());
            grant.mutable_engine()->set_address(
                to_string(first_engine->address()));
            grant.mutable_engine()->set_id("e9");
            return grant;
        });
    const auto waits = monitor("127.0.0.2", make_all_wait());
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    upstream_record listed;
    listed.id = "e9";
    listed.service = "model";
    listed.address = first_engine->address();
    listed.failure_domain = domain;
    listed.slots = 8;
    listed.started_ms = 9;
    publish_record(listed);
    EXPECT_EQ(caller.read().status(), 200U);
    ASSERT_EQ(first_engine->arrived().size(), 1U);
    EXPECT_EQ(first_engine->arrived().front().field("Expect-Instance"), "e9");
}

// Guards against a monitor that reports the identity of another VM's engine.
TEST_F(start_searches, ignore_reports_about_engines_of_other_vms)
{
    const auto reports_another_vm =
        monitor("127.0.0.2", [&](const v1::MonitorRequest& request) -> notice {
            if (!wants_start(request))
                return std::nullopt;
            auto waits = start_waits(request.start_wanted().id());
            waits.mutable_engine()->set_address(
                to_string(first_engine->address()));
            waits.mutable_engine()->set_id("e9");
            return waits;
        });
    const auto grants = monitor("127.0.0.1", grant_all());
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send_request("/gen/x").status(), 200U);
    for (const auto& request : first_engine->arrived())
        EXPECT_EQ(request.field("Expect-Instance"), "e1");
}

bool wants_loads(const v1::MonitorRequest& request)
{
    return request.loads_wanted();
}

// Guards against load reports from every engine to every gateway, whose number
// grows with the product of both. A gateway subscribes to the engines that run
// its requests, and to two that may read the directory for it.
TEST_F(start_searches, subscribe_to_the_loads_of_a_few_engines)
{
    for (int host = 3; host <= 6; ++host)
        add("e" + std::to_string(host), answer_with_short_stream, "model",
            "127.0.0." + std::to_string(host));
    std::vector<std::unique_ptr<scripted_monitor>> monitors;
    std::atomic<int> granting_host = 0;
    for (int host = 1; host <= 6; ++host) {
        const auto engine = to_string(upstreams.at(host - 1)->address());
        monitors.push_back(monitor(
            "127.0.0." + std::to_string(host),
            [&, host, engine](const v1::MonitorRequest& request) -> notice {
                if (!wants_start(request)) {
                    v1::MonitorNotice load;
                    load.mutable_load()->set_engine_address(engine);
                    return load;
                }
                if (granting_host != host)
                    return start_waits(request.start_wanted().id());
                return start_given(request.start_wanted().id());
            }));
    }
    std::vector<std::size_t> earlier(monitors.size(), 0);
    const auto subscribed = [&] {
        std::set<int> hosts;
        for (std::size_t i = 0; i < monitors.size(); ++i) {
            if (monitors[i]->count_of(wants_loads) > earlier[i])
                hosts.insert(static_cast<int>(i) + 1);
        }
        return hosts;
    };
    const auto deadline = steady_now() + std::chrono::seconds(10);
    while (subscribed().size() < 2 && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(10));
    // The gateway may have subscribed to others while it knew fewer engines.
    std::this_thread::sleep_for(milliseconds(300));
    for (std::size_t i = 0; i < monitors.size(); ++i)
        earlier[i] = monitors[i]->count_of(wants_loads);
    // Subscriptions are sent once a second, surplus ones as well.
    std::this_thread::sleep_for(milliseconds(1500));
    const auto relays = subscribed();
    EXPECT_EQ(relays.size(), 2U);
    granting_host = relays.contains(6) ? 5 : 6;
    while (relays.contains(granting_host))
        --granting_host;
    hold_streams = true;
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    EXPECT_TRUE(monitors[granting_host - 1]->wait_for(wants_loads));
    hold_streams = false;
    EXPECT_EQ(caller.read().status(), 200U);
    EXPECT_EQ(subscribed().size(), 3U);
}

// Guards against leaked grants: a grant for an unknown request, or a duplicate
// one, is released.
TEST_F(start_searches, release_unexpected_grants)
{
    const auto unexpected =
        monitor("127.0.0.1", [](const v1::MonitorRequest& request) -> notice {
            if (ends_start(request))
                return std::nullopt;
            return start_given("no-such-request");
        });
    EXPECT_TRUE(unexpected->wait_for([](const v1::MonitorRequest& request) {
        return request.start_ended() == "no-such-request";
    }));
    EXPECT_TRUE(first_engine->arrived().empty());
}

} // namespace
} // namespace cyclamenrun::testing_support
