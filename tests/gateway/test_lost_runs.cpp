#include "../support/free_port.hpp"
#include "gateway_fixture.hpp"
#include "generating_engine.hpp"
#include "scripted_monitor.hpp"

#include <atomic>
#include <memory>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** Resumable streams whose connection is lost while their engine works on. */
class lost_runs : public gateway_fixture
{
protected:
    lost_runs()
    {
        second->on_resume = [this] {
            ran_beside = ran_beside || first->runs_on;
        };
    }

    ~lost_runs() override
    {
        gateway.reset();
        upstreams.clear();
    }

    fake_upstream& add_engine(const std::string& id,
                              const std::shared_ptr<generating_engine>& engine,
                              const std::string& host = "127.0.0.1")
    {
        auto& added = add(id, script_of(engine), "model", host);
        added.rejects_load_requests = false;
        return added;
    }

    /** Returns a caller whose stream runs at the first engine. */
    std::unique_ptr<test_caller> begin_stream()
    {
        first->hold_before = 5;
        first->lose_before = 5;
        auto caller = std::make_unique<test_caller>(gateway->address());
        caller->send(request("/res/x"));
        EXPECT_TRUE(caller->wait_for_body(events(1, 4)));
        return caller;
    }

    /** The only engine asks for a rest of so many seconds, then works. */
    void add_resting_engine(const std::string& id,
                            const std::shared_ptr<generating_engine>& engine,
                            const std::string& rest)
    {
        const auto has_rested = std::make_shared<std::atomic<bool>>(false);
        add(
            id,
            [engine, rest, has_rested](const arrived_request& request,
                                       upstream_reply& reply) {
                if (has_rested->exchange(true))
                    engine->respond(request, reply);
                else
                    reply.ask_for_rest(request, rest);
            },
            "model")
            .rejects_load_requests = true;
        EXPECT_EQ(send_request("/gen/x").status(), 503U);
    }

    /** Resets the connection of the stream, whose run goes on. */
    void lose_stream() const
    {
        first->hold_before = 1000;
        while (!first->runs_on)
            std::this_thread::sleep_for(milliseconds(1));
    }

    static void expect_whole(test_caller& caller)
    {
        const auto answer = caller.read();
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    }

    std::shared_ptr<generating_engine> first =
        std::make_shared<generating_engine>();
    std::shared_ptr<generating_engine> second =
        std::make_shared<generating_engine>();
    /** The stream went on at the second engine while it ran at the first. */
    std::atomic<bool> ran_beside = false;
};

// Guards against two runs of one stream: the orders to stop are lost, and the
// engine's report is older than the run.
TEST_F(lost_runs, are_stopped_by_repeated_orders)
{
    start();
    add_engine("e1", first);
    first->report_lag_ms = 500;
    const auto caller = begin_stream();
    add_engine("e2", second);
    first->lost_stop_orders = 3;
    lose_stream();
    expect_whole(*caller);
    EXPECT_FALSE(ran_beside);
    EXPECT_EQ(first->orders, 4);
}

// Guards against a stream that is cut, or runs twice: no engine has room for
// its memory, so no order to stop was sent.
TEST_F(lost_runs, are_stopped_without_room_for_their_memory)
{
    start();
    add_resting_engine("e2", second, "1");
    add_engine("e1", first);
    first->report_lag_ms = 500;
    const auto caller = begin_stream();
    lose_stream();
    expect_whole(*caller);
    EXPECT_FALSE(ran_beside);
    EXPECT_EQ(first->orders, 1);
}

// Guards against two runs of one stream: its engine takes no orders, and its
// report is older than the run.
TEST_F(lost_runs, that_can_not_be_stopped_are_awaited_by_later_reports)
{
    start(false);
    auto without_orders = configuration();
    for (auto& service : without_orders.services)
        if (service.engine)
            service.engine->moves = false;
    apply(without_orders);
    add_engine("e1", first);
    first->report_lag_ms = 500;
    const auto caller = begin_stream();
    add_engine("e2", second);
    lose_stream();
    std::this_thread::sleep_for(milliseconds(1500));
    EXPECT_TRUE(first->runs_on);
    first->ends_lost_runs = true;
    expect_whole(*caller);
    EXPECT_FALSE(ran_beside);
    EXPECT_EQ(first->orders, 0);
}

// Guards against two runs of one stream: its engine accepts no connection for a
// while, and its host responds.
TEST_F(lost_runs, go_on_at_a_process_that_accepts_no_connection)
{
    const auto port = free_port();
    settings.loads_listen = {"127.0.0.1", free_port()};
    settings.monitor_port = port;
    start();
    const auto respond = [](const v1::MonitorRequest& request) {
        return std::optional(request.has_start_wanted()
                                 ? start_given(request.start_wanted().id())
                                 : v1::MonitorNotice());
    };
    scripted_monitor first_monitor("127.0.0.1", port, respond);
    scripted_monitor second_monitor("127.0.0.2", port, respond);
    auto& source = add_engine("e1", first);
    const auto caller = begin_stream();
    add_engine("e2", second, "127.0.0.2");
    source.fill_connection_queue();
    lose_stream();
    std::this_thread::sleep_for(milliseconds(3000));
    EXPECT_TRUE(first->runs_on);
    first->ends_lost_runs = true;
    EXPECT_FALSE(caller->read().whole);
    EXPECT_FALSE(ran_beside);
}

// Guards against a stream that is cut although nothing works on it any more:
// its engine's process is gone, and refuses the order to stop.
TEST_F(lost_runs, of_a_process_that_is_gone_go_on_elsewhere)
{
    start();
    auto& source = add_engine("e1", first);
    const auto caller = begin_stream();
    add_engine("e2", second);
    source.crash();
    first->ends_lost_runs = true;
    first->hold_before = 1000;
    expect_whole(*caller);
    EXPECT_FALSE(ran_beside);
}

} // namespace
} // namespace cyclamenrun::testing_support
