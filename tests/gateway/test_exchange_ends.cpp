#include "../support/free_port.hpp"
#include "gateway_fixture.hpp"
#include "generating_engine.hpp"
#include "scripted_monitor.hpp"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <tuple>

namespace cyclamenrun::testing_support
{
namespace
{

/** What a request waits for when its end comes. */
enum class waits_for {
    start,      ///< of an engine, which no monitor grants
    response,   ///< of an order
    body,       ///< the rest of an order's answer
    prompt,     ///< the head of a stream
    event,      ///< the next one of a stream
    room,       ///< for the copy of a stream whose engine leaves
    stop,       ///< of a lost run that can't be confirmed
    second_run, ///< the response of a stream that was lost and runs anew
};

/** What ends it. */
enum class ended_by { deadline, caller, exit, crash, removal };

constexpr std::string_view name_of(waits_for state)
{
    constexpr std::array names{"start", "response", "body", "prompt",
                               "event", "room",     "stop", "second_run"};
    return names.at(static_cast<std::size_t>(state));
}

constexpr std::string_view name_of(ended_by end)
{
    constexpr std::array names{"deadline", "caller", "exit", "crash",
                               "removal"};
    return names.at(static_cast<std::size_t>(end));
}

bool is_stream(waits_for state)
{
    return state != waits_for::response && state != waits_for::body;
}

using test_case = std::tuple<waits_for, ended_by>;

/** A request in each of its states that something ends. */
class exchange_ends : public gateway_fixture,
                      public testing::WithParamInterface<test_case>
{
protected:
    /** Ends the scripts' threads before the members that they use. */
    ~exchange_ends() override
    {
        release();
        gateway.reset();
        upstreams.clear();
        monitors.clear();
    }

    static waits_for state_wanted() { return std::get<0>(GetParam()); }
    static ended_by end_wanted() { return std::get<1>(GetParam()); }

    /** Lets all that is held back go on. */
    void release()
    {
        released = true;
        for (const auto& each : engines) {
            each->hold_before = 1000;
            each->ends_lost_runs = true;
            each->has_room = true;
        }
    }

    void hold() const
    {
        const auto until = steady_now() + std::chrono::seconds(10);
        while (!released && steady_now() < until)
            std::this_thread::sleep_for(milliseconds(1));
    }

    void serve_order(const arrived_request& request, upstream_reply& reply)
    {
        if (state_wanted() == waits_for::response) {
            hold();
            reply.answer(request, 200, "hello");
            return;
        }
        reply.send("HTTP/1.1 200 OK\r\nResponse-Seal: seal\r\nAttempt-Id: " +
                   request.field("Attempt-Id") +
                   "\r\nContent-Length: 5\r\n\r\nhe");
        hold();
        reply.send("llo");
    }

    void add_engine(const std::string& id)
    {
        const auto engine = std::make_shared<generating_engine>();
        engines.push_back(engine);
        const auto state = state_wanted();
        const bool is_first = engines.size() == 1;
        if (is_first && state >= waits_for::event)
            engine->hold_before = 5;
        if (is_first && state >= waits_for::stop)
            engine->lose_before = 5;
        engine->denies_runs = state == waits_for::stop;
        engine->ends_lost_runs = state == waits_for::second_run;
        engine->has_room = state != waits_for::room;
        const auto respond = [this, engine, state](const auto& request,
                                                   auto& reply) {
            const bool is_second = state == waits_for::second_run &&
                                   !request.field("Last-Event-Id").empty();
            if (is_second ||
                (state == waits_for::prompt && request.head.target == "/gen/x"))
                hold();
            engine->respond(request, reply);
        };
        add(id, respond, "model").rejects_load_requests = false;
    }

    void grant_no_start()
    {
        const auto port = free_port();
        settings.loads_listen = {"127.0.0.1", free_port()};
        settings.monitor_port = port;
        monitors.push_back(std::make_unique<scripted_monitor>(
            "127.0.0.1", port,
            [](const v1::MonitorRequest& wanted)
                -> std::optional<v1::MonitorNotice> {
                if (!wanted.has_start_wanted())
                    return std::nullopt;
                return start_waits(wanted.start_wanted().id());
            }));
    }

    std::string request_text() const
    {
        const auto state = state_wanted();
        std::string path = "/plain/x";
        if (is_stream(state))
            path = state == waits_for::second_run ? "/res/x" : "/gen/x";
        const std::string time =
            end_wanted() == ended_by::deadline ? "1200" : "9000";
        return "POST " + path +
               " HTTP/1.1\r\nHost: test.example\r\nAttempt-Id: r1\r\n"
               "Authorization: Bearer k1\r\nToken-Usage: 100,4000\r\n"
               "Deadline-Ms: " +
               time + "\r\nContent-Length: 5\r\n\r\nhello";
    }

    /** Begins the request, and waits until it is in its state. */
    std::unique_ptr<test_caller> begin()
    {
        const auto state = state_wanted();
        settings.stop_grace_s = 1.2;
        if (state == waits_for::start)
            grant_no_start();
        start();
        if (is_stream(state))
            add_engine("e1");
        else
            add("u1", [this](const auto& request, auto& reply) {
                serve_order(request, reply);
            });
        auto caller = std::make_unique<test_caller>(gateway->address());
        caller->send(request_text());
        if (state >= waits_for::event) {
            EXPECT_TRUE(caller->wait_for_body(events(1, 4)));
        }
        if (state >= waits_for::room)
            add_engine("e2");
        if (state == waits_for::room)
            drain("e1");
        if (state >= waits_for::stop)
            engines.front()->hold_before = 1000;
        std::this_thread::sleep_for(milliseconds(200));
        EXPECT_TRUE(runs());
        return caller;
    }

    bool runs() { return state().find("\"running\":0,") == std::string::npos; }

    void end(test_caller& caller)
    {
        switch (end_wanted()) {
        case ended_by::deadline:
            return;
        case ended_by::caller:
            caller.disconnect();
            return;
        case ended_by::exit:
            (void)gateway->drain();
            return;
        case ended_by::crash:
            for (const auto& each : upstreams)
                each->crash();
            remove_all();
            return;
        case ended_by::removal:
            remove_all();
            release();
            return;
        }
    }

    void remove_all()
    {
        for (const auto& each : records)
            remove_upstream(each.id);
    }

    std::size_t runs_begun() const
    {
        std::size_t count = 0;
        for (const auto& each : upstreams)
            for (const auto& request : each->arrived())
                if (request.head.target.ends_with("/x"))
                    ++count;
        return count;
    }

    void expect_one_end(test_caller& caller)
    {
        const auto waiting_since = steady_now();
        const auto answer = caller.read();
        // Longer than anything that ends it; the caller's timeout is 10 s.
        EXPECT_LT(steady_now() - waiting_since, milliseconds(7000));
        EXPECT_FALSE(answer.malformed);
        if (!answer.whole) {
            // Nothing was begun that a caller could take for an answer.
            EXPECT_NE(answer.status(), 0U) << "no answer at all";
            return;
        }
        const auto whole_body = is_stream(state_wanted())
                                    ? events(1, generating_engine::last_event)
                                    : "hello";
        if (answer.status() == 200) {
            EXPECT_EQ(answer.body, whole_body);
        } else {
            EXPECT_NE(answer.body.find("{\"error\":"), std::string::npos);
        }
        // It promises that the request has not run.
        if (answer.status() == 503) {
            EXPECT_EQ(runs_begun(), 0U);
        }
    }

    std::atomic<bool> released = false;
    std::vector<std::shared_ptr<generating_engine>> engines;
    std::vector<std::unique_ptr<scripted_monitor>> monitors;
};

// Guards against a request that was taken and gets no end, an end that looks
// like a whole answer, or one that is untrue.
TEST_P(exchange_ends, come_once_and_are_true)
{
    const auto caller = begin();
    end(*caller);
    if (end_wanted() != ended_by::caller)
        expect_one_end(*caller);
    const auto until = steady_now() + milliseconds(1000);
    while (runs() && steady_now() < until)
        std::this_thread::sleep_for(milliseconds(10));
    EXPECT_FALSE(runs());
}

INSTANTIATE_TEST_SUITE_P(
    all, exchange_ends,
    testing::Combine(testing::Values(waits_for::start, waits_for::response,
                                     waits_for::body, waits_for::prompt,
                                     waits_for::event, waits_for::room,
                                     waits_for::stop, waits_for::second_run),
                     testing::Values(ended_by::deadline, ended_by::caller,
                                     ended_by::exit, ended_by::crash,
                                     ended_by::removal)),
    [](const testing::TestParamInfo<test_case>& each) {
        return std::string(name_of(std::get<0>(each.param))) + "_ended_by_" +
               std::string(name_of(std::get<1>(each.param)));
    });

} // namespace
} // namespace cyclamenrun::testing_support
