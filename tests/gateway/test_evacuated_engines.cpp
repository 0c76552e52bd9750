#include "../support/free_port.hpp"
#include "gateway_fixture.hpp"
#include "generating_engine.hpp"
#include "scripted_monitor.hpp"

#include <memory>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** A gateway, and engines in several failure domains. */
class evacuated_engines : public gateway_fixture
{
protected:
    /** Ends the scripts' threads before the members that they use. */
    ~evacuated_engines() override
    {
        gateway.reset();
        upstreams.clear();
    }

    fake_upstream& add_in(const std::string& failure_domain,
                          const std::string& id, fake_upstream::script respond,
                          const std::string& host = "127.0.0.1")
    {
        domain = failure_domain;
        return add(id, std::move(respond), "model", host);
    }

    /** Runs `first`, and `continued` what continues a generation there. */
    fake_upstream::script source_script()
    {
        return [this](const arrived_request& request, upstream_reply& reply) {
            if (request.field("Kv-From").empty())
                first->respond(request, reply);
            else
                continued->respond(request, reply);
        };
    }

    static std::vector<arrived_request> streams(const fake_upstream& upstream)
    {
        auto arrived = upstream.arrived();
        std::erase_if(arrived, [](const auto& request) {
            return request.head.target != "/gen/x" &&
                   request.head.target != "/res/x";
        });
        return arrived;
    }

    /** Starts a generation that waits after its fourth event. */
    std::unique_ptr<test_caller> begin(const std::string& path = "/gen/x")
    {
        first->hold_before = 5;
        auto caller = std::make_unique<test_caller>(gateway->address());
        caller->send(request(path));
        EXPECT_TRUE(caller->wait_for_body(events(1, 4)));
        return caller;
    }

    static void expect_whole(test_caller& caller)
    {
        const auto answer = caller.read();
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    }

    /** Expects an answer that ends visibly incomplete. */
    static void expect_cut(test_caller& caller)
    {
        const auto answer = caller.read();
        EXPECT_FALSE(answer.whole);
        EXPECT_EQ(answer.body, events(1, 4));
    }

    std::shared_ptr<generating_engine> first =
        std::make_shared<generating_engine>();
    std::shared_ptr<generating_engine> second =
        std::make_shared<generating_engine>();
    std::shared_ptr<generating_engine> continued =
        std::make_shared<generating_engine>();
};

// Guards against an evacuation that stops or moves what runs there.
TEST_F(evacuated_engines, finish_their_generations)
{
    start();
    add_in("d1", "e1", script_of(first));
    const auto caller = begin();
    add_in("d2", "e2", script_of(second));
    evacuate("d1");
    std::this_thread::sleep_for(milliseconds(300));
    first->hold_before = 1000;
    expect_whole(*caller);
    EXPECT_EQ(first->orders, 0);
    EXPECT_TRUE(streams(*upstreams[1]).empty());
}

// Guards against generations that are lost with engines which leave while their
// domain is evacuated, and against others of the domain as their destination.
TEST_F(evacuated_engines, have_their_generations_moved_if_they_leave)
{
    start();
    add_in("d1", "e1", script_of(first));
    const auto caller = begin();
    const auto& beside = add_in("d1", "e3", script_of(second));
    evacuate("d1");
    drain("e1");
    std::this_thread::sleep_for(milliseconds(300));
    EXPECT_TRUE(beside.arrived().empty());
    EXPECT_EQ(first->orders, 0);
    add_in("d2", "e2", script_of(second));
    expect_whole(*caller);
    EXPECT_TRUE(beside.arrived().empty());
    EXPECT_EQ(streams(*upstreams[2]).size(), 1U);
}

// Guards against a lost generation: the destination is evacuated while the
// memory is copied there, and the source runs on until another one is found.
TEST_F(evacuated_engines, are_given_up_as_destinations_before_the_stop)
{
    start();
    const auto& source = add_in("d2", "e1", script_of(first));
    const auto caller = begin();
    std::atomic<bool> copied = false;
    first->on_copied = [&] {
        if (!copied.exchange(true))
            evacuate("d1");
    };
    const auto& evacuated = add_in("d1", "e2", script_of(second));
    drain("e1");
    while (!copied)
        std::this_thread::sleep_for(milliseconds(5));
    add_in("d3", "e3", script_of(second));
    expect_whole(*caller);
    EXPECT_TRUE(streams(evacuated).empty());
    EXPECT_EQ(streams(source).size(), 1U);
    EXPECT_EQ(streams(*upstreams[2]).size(), 1U);
}

// Guards against a continuation at a destination that is evacuated after the
// source has stopped: the source still holds the memory.
TEST_F(evacuated_engines, do_not_continue_what_has_stopped_elsewhere)
{
    start();
    const auto& source = add_in("d2", "e1", source_script());
    const auto caller = begin();
    first->on_stop = [this] { evacuate("d1"); };
    const auto& evacuated = add_in("d1", "e2", script_of(second));
    drain("e1");
    expect_whole(*caller);
    EXPECT_TRUE(streams(evacuated).empty());
    EXPECT_EQ(streams(source).size(), 2U);
}

// Guards against a stopped generation that goes on at its own source, whose
// domain is evacuated: the reply to the stop order is lost.
TEST_F(evacuated_engines, do_not_continue_what_they_have_stopped)
{
    start();
    const auto& source = add_in("d1", "e1", source_script());
    const auto caller = begin();
    first->lost_stop_answers = 1;
    add_in("d2", "e2", script_of(second));
    evacuate("d1");
    drain("e1");
    expect_cut(*caller);
    EXPECT_EQ(streams(source).size(), 1U);
}

// The same, of a stream that may run anew.
TEST_F(evacuated_engines, leave_a_stopped_resumable_stream_to_another)
{
    start();
    const auto& source = add_in("d1", "e1", source_script());
    const auto caller = begin("/res/x");
    first->lost_stop_answers = 1;
    const auto& other = add_in("d2", "e2", script_of(second));
    evacuate("d1");
    drain("e1");
    expect_whole(*caller);
    EXPECT_EQ(streams(source).size(), 1U);
    EXPECT_EQ(streams(other).size(), 1U);
}

// Guards against the same when the destination turns the continuation away.
TEST_F(evacuated_engines, do_not_take_back_what_was_turned_away)
{
    start();
    const auto& source = add_in("d1", "e1", source_script());
    const auto caller = begin();
    const auto& full = add_in("d2", "e2", [](const auto& request, auto& reply) {
        reply.answer(request, 503, "full", "Not-Executed: 1\r\n");
    });
    evacuate("d1");
    drain("e1");
    expect_cut(*caller);
    EXPECT_EQ(streams(source).size(), 1U);
    EXPECT_EQ(streams(full).size(), 1U);
}

// Guards against a backup at an engine that is to get nothing.
TEST_F(evacuated_engines, keep_no_backups)
{
    start();
    add_in("d2", "e1", script_of(first));
    first->break_before = 5;
    EXPECT_FALSE(send_request("/gen/x").whole);
    const auto& evacuated = add_in("d1", "e2", script_of(second));
    evacuate("d1");
    EXPECT_FALSE(send_request("/gen/x").whole);
    EXPECT_EQ(streams(*upstreams[0]).back().field("Kv-Backup"), "");
    EXPECT_TRUE(evacuated.arrived().empty());
}

// Guards against a generation that continues from a backup there: the domain of
// the backup is evacuated before the engine crashes.
TEST_F(evacuated_engines, do_not_continue_from_their_backups)
{
    start();
    add_in("d2", "e1", script_of(first));
    first->break_before = 5;
    EXPECT_FALSE(send_request("/gen/x").whole);
    drain("e1");
    const auto running = std::make_shared<generating_engine>();
    running->hold_before = 5;
    running->break_before = 5;
    const auto& source = add_in("d2", "e3", script_of(running));
    const auto& backup = add_in("d1", "e2", script_of(second));
    second->hold_before = 1;
    std::vector<std::unique_ptr<test_caller>> callers;
    // Until one runs at the engine outside.
    while (streams(source).empty() && callers.size() < 20) {
        callers.push_back(std::make_unique<test_caller>(gateway->address()));
        callers.back()->send(request("/gen/x"));
        std::this_thread::sleep_for(milliseconds(50));
    }
    ASSERT_EQ(streams(source).size(), 1U);
    EXPECT_EQ(streams(source)[0].field("Kv-Backup"),
              to_string(backup.address()));
    ASSERT_TRUE(callers.back()->wait_for_body(events(1, 4)));
    evacuate("d1");
    running->hold_before = 1000;
    expect_cut(*callers.back());
    for (const auto& arrived : streams(backup))
        EXPECT_EQ(arrived.field("Kv-From"), "");
    second->hold_before = 1000;
}

// Guards against queries for the load of engines that get nothing.
TEST_F(evacuated_engines, are_not_asked_for_their_load)
{
    start();
    auto& inside = add_in("d1", "e1", script_of(first));
    auto& outside = add_in("d2", "e2", script_of(second));
    evacuate("d1");
    inside.rejects_load_requests = false;
    outside.rejects_load_requests = false;
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(send_request("/gen/x").whole);
    EXPECT_TRUE(inside.arrived().empty());
    EXPECT_GT(outside.arrived().size(), 5U) << "no load was asked for";
}

using notice = std::optional<v1::MonitorNotice>;

/** Two engines on separate hosts whose monitors grant starts. */
class evacuated_starts : public evacuated_engines
{
protected:
    evacuated_starts()
    {
        port = free_port();
        settings.loads_listen = {"127.0.0.1", free_port()};
        settings.monitor_port = port;
        start();
        add_in("d1", "e1", script_of(first), "127.0.0.1");
        add_in("d2", "e2", script_of(second), "127.0.0.2");
    }

    /** Ends the monitors' threads before the members that they use. */
    ~evacuated_starts() override { monitors.clear(); }

    void monitor(const std::string& host,
                 std::function<notice(const std::string& id)> answer)
    {
        monitors.push_back(std::make_unique<scripted_monitor>(
            host, port,
            [answer = std::move(answer)](
                const v1::MonitorRequest& request) -> notice {
                if (!request.has_start_wanted())
                    return std::nullopt;
                return answer(request.start_wanted().id());
            }));
    }

    std::uint16_t port = 0;
    std::vector<std::unique_ptr<scripted_monitor>> monitors;
};

bool ends_start(const v1::MonitorRequest& request)
{
    return !request.start_ended().empty();
}

// Guards against a start that was granted before the news, and against a grant
// that is kept and holds back others.
TEST_F(evacuated_starts, are_not_used)
{
    std::atomic<bool> evacuated = false;
    monitor("127.0.0.1", [&](const std::string& id) {
        if (!evacuated.exchange(true))
            evacuate("d1");
        return start_given(id);
    });
    monitor("127.0.0.2", [&](const std::string& id) {
        return evacuated ? start_given(id) : start_waits(id);
    });
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    expect_whole(caller);
    EXPECT_TRUE(upstreams[0]->arrived().empty());
    EXPECT_EQ(streams(*upstreams[1]).size(), 1U);
    EXPECT_TRUE(monitors[0]->wait_for(ends_start));
}

// Guards against callers that wait for a start where none is used any more.
TEST_F(evacuated_starts, that_are_awaited_are_a_refusal)
{
    for (const auto* host : {"127.0.0.1", "127.0.0.2"})
        monitor(host, [](const std::string& id) { return start_waits(id); });
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    for (const auto& each : monitors)
        EXPECT_TRUE(each->wait_for([](const v1::MonitorRequest& request) {
            return request.has_start_wanted();
        }));
    evacuate("d1");
    evacuate("d2");
    const auto learned = steady_now();
    const auto answer = caller.read();
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_EQ(answer.body, R"({"error":"evacuated"})");
    EXPECT_LT(steady_now() - learned, milliseconds(1000));
    for (const auto& each : monitors)
        EXPECT_TRUE(each->wait_for(ends_start));
    for (const auto& each : upstreams)
        EXPECT_TRUE(each->arrived().empty());
}

} // namespace
} // namespace cyclamenrun::testing_support
