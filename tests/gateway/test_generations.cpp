#include "gateway_fixture.hpp"
#include "generating_engine.hpp"

#include <memory>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

class generations : public gateway_fixture
{
protected:
    fake_upstream& add_engine(const std::string& id,
                              const std::shared_ptr<generating_engine>& engine)
    {
        return add(id, script_of(engine), "model");
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
};

TEST_F(generations, events_are_relayed_as_they_arrive)
{
    start();
    const auto engine = std::make_shared<generating_engine>();
    engine->hold_before = 4;
    add_engine("e1", engine);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    EXPECT_TRUE(caller.wait_for_body(events(1, 3)));
    engine->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(answer.field("Response-Seal"), "seal");
}

// Guards against lost or repeated events when an engine is reclaimed during a
// generation: the memory is copied to another engine, which continues the
// stream.
TEST_F(generations, a_generation_moves_off_a_reclaimed_engine)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->hold_before = 5;
    auto& source = add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    auto& destination = add_engine("e2", second);
    drain("e1");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(first->orders, 2); // a copy during the run, then the rest
    const auto resumed = streams(destination);
    ASSERT_EQ(resumed.size(), 1U);
    EXPECT_EQ(resumed[0].field("Kv-From"), to_string(source.address()) + "/h1");
    EXPECT_EQ(resumed[0].field("Last-Event-Id"), "4");
    EXPECT_EQ(resumed[0].field("Attempt-Id"),
              streams(source)[0].field("Attempt-Id"));
    EXPECT_EQ(resumed[0].field("Expect-Instance"), "e2");
}

// Guards against a generation that hangs until its caller times out: the
// engine's record is removed from the directory during the last copy, and the
// gateway must still wait for the reply to the order.
TEST_F(generations, a_move_survives_the_removal_of_its_source)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->hold_before = 5;
    first->on_stop = [this] {
        remove_upstream("e1");
        wait_for_upstreams(1);
    };
    add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", second);
    drain("e1");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
}

// Guards against lost or repeated events when the reply to the stop order is
// lost. The end of the source's stream shows that it stopped, so the generation
// resumes from the memory at the source.
TEST_F(generations, a_lost_reply_to_the_stop_order_loses_no_event)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->hold_before = 5;
    first->lost_stop_answers = 1;
    auto& source = add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", second);
    drain("e1");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    const auto runs = streams(source);
    ASSERT_EQ(runs.size(), 2U);
    EXPECT_EQ(runs[1].field("Kv-From"), to_string(source.address()) + "/h1");
    EXPECT_EQ(runs[1].field("Last-Event-Id"), "4");
}

// Guards against a second run when the stop order itself is lost: the source
// still streams, so the gateway must repeat the order and not start elsewhere.
TEST_F(generations, a_lost_stop_order_starts_no_second_run)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->hold_before = 5;
    first->lost_stop_orders = 1;
    auto& source = add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    auto& destination = add_engine("e2", second);
    drain("e1");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(streams(source).size(), 1U);
    EXPECT_EQ(streams(destination).size(), 1U);
}

// Guards against a generation that is cut although it runs: the stop order
// can't reach its engine, which takes no new connections any more.
TEST_F(generations, a_stop_order_that_was_not_sent_stops_nothing)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    first->hold_before = 5;
    auto& source = add_engine("e1", first);
    first->on_copied = [&source] { source.stop_listening(); };
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", std::make_shared<generating_engine>());
    drain("e1");
    std::this_thread::sleep_for(milliseconds(400));
    first->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(first->orders, 1);
}

TEST_F(generations, a_move_is_retried_when_the_destination_has_no_room)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->hold_before = 5;
    first->has_room = false;
    add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", second);
    drain("e1");
    while (first->orders == 0)
        std::this_thread::sleep_for(milliseconds(5));
    first->has_room = true;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
}

// Guards against a corrupt or lost answer when an engine crashes in the middle
// of an event: the backup continues, and the incomplete event is dropped.
TEST_F(generations, a_backup_resumes_after_a_crash)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    add_engine("e1", first);
    add_engine("e2", second);
    first->break_before = 5;
    second->break_before = 5;
    // Detecting the first crash enables backups for later generations.
    EXPECT_FALSE(send_request("/gen/x").whole);
    const auto answer = send_request("/gen/x");
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    std::size_t resumed = 0;
    for (const auto& upstream : upstreams) {
        for (const auto& arrived : streams(*upstream)) {
            if (arrived.field("Kv-From").empty())
                continue;
            ++resumed;
            EXPECT_EQ(arrived.field("Last-Event-Id"), "4");
            // The handle of a backup copy is the id of its request.
            EXPECT_EQ(arrived.field("Kv-From"),
                      to_string(upstream->address()) + "/r2");
        }
    }
    EXPECT_EQ(resumed, 1U);
}

// Guards against two runs of one stream: its connection is lost, its engine
// works on it, and it goes on at another engine.
TEST_F(generations, a_lost_stream_goes_on_after_its_run_was_stopped)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    first->hold_before = 5;
    first->lose_before = 5;
    auto& source = add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    auto& other = add_engine("e2", std::make_shared<generating_engine>());
    first->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(first->orders, 1);
    EXPECT_FALSE(first->runs_on);
    const auto resumed = streams(other);
    ASSERT_EQ(resumed.size(), 1U);
    EXPECT_EQ(resumed[0].field("Kv-From"), to_string(source.address()) + "/h1");
    EXPECT_EQ(resumed[0].field("Last-Event-Id"), "4");
}

// Guards against two runs of one stream: the engine answers that there is no
// such run, and lists it.
TEST_F(generations, a_backup_waits_for_the_end_of_a_run_that_can_not_be_stopped)
{
    start();
    std::vector<std::shared_ptr<generating_engine>> engines;
    for (const auto* id : {"e1", "e2"}) {
        engines.push_back(std::make_shared<generating_engine>());
        engines.back()->break_before = 5;
        add_engine(id, engines.back()).rejects_load_requests = false;
    }
    // A crash that was seen enables backups for later generations.
    EXPECT_FALSE(send_request("/gen/x").whole);
    for (const auto& each : engines) {
        each->break_before = 1000;
        each->lose_before = 5;
        each->denies_runs = true;
    }
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    std::this_thread::sleep_for(milliseconds(500));
    EXPECT_TRUE(engines[0]->runs_on || engines[1]->runs_on);
    const auto arrived = [&] {
        std::size_t count = 0;
        for (const auto& upstream : upstreams)
            count += streams(*upstream).size();
        return count;
    };
    EXPECT_EQ(arrived(), 2U);
    for (const auto& each : engines)
        each->ends_lost_runs = true;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(arrived(), 3U);
}

// Guards against a stream that is cut although its memory arrives: its lost run
// was stopped, and the copy takes longer than a reply usually does.
TEST_F(generations, a_lost_stream_waits_for_the_copy_of_its_stopped_run)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    first->hold_before = 5;
    first->lose_before = 5;
    first->on_stop = [] { std::this_thread::sleep_for(milliseconds(1800)); };
    add_engine("e1", first).rejects_load_requests = false;
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    auto& other = add_engine("e2", std::make_shared<generating_engine>());
    first->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(streams(other).size(), 1U);
}

// Guards against two runs of one stream: its engine accepts connections,
// replies late to orders and queries, and works on.
TEST_F(generations, a_backup_waits_for_an_engine_that_replies_late)
{
    start();
    std::vector<std::shared_ptr<generating_engine>> engines;
    for (const auto* id : {"e1", "e2"}) {
        engines.push_back(std::make_shared<generating_engine>());
        engines.back()->break_before = 5;
        add_engine(id, engines.back()).rejects_load_requests = false;
    }
    // A crash that was seen enables backups for later generations.
    EXPECT_FALSE(send_request("/gen/x").whole);
    for (const auto& each : engines) {
        each->break_before = 1000;
        each->lose_before = 5;
        each->denies_runs = true;
    }
    test_caller caller(gateway->address());
    for (const auto& each : engines)
        each->reply_delay_ms = 1500;
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    std::this_thread::sleep_for(milliseconds(2000));
    EXPECT_TRUE(engines[0]->runs_on || engines[1]->runs_on);
    const auto arrived = [&] {
        return streams(*upstreams[0]).size() + streams(*upstreams[1]).size();
    };
    EXPECT_EQ(arrived(), 2U);
    for (const auto& each : engines) {
        each->ends_lost_runs = true;
        each->reply_delay_ms = 0;
    }
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(arrived(), 3U);
}

// Guards against a refusal written into the body of a stream: the stream breaks
// after the configuration's lease has expired, so it may not be retried. The
// answer must end visibly incomplete.
TEST_F(generations, no_refusal_follows_the_first_part_of_an_answer)
{
    settings.configuration_lease = milliseconds(800);
    settings.configuration_wait = milliseconds(100);
    start();
    const auto first = std::make_shared<generating_engine>();
    first->hold_before = 5;
    first->break_before = 5;
    add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/res/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", std::make_shared<generating_engine>());
    while (readiness() != 503)
        std::this_thread::yield();
    first->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_FALSE(answer.whole);
    EXPECT_FALSE(answer.malformed);
    EXPECT_EQ(answer.body, events(1, 4));
}

// Guards against streams that are cut by a planned stop: a stopping process
// refuses a stream that would outlast it, so that another process serves it
// completely.
TEST_F(generations, a_stream_that_would_outlast_the_process_is_refused)
{
    settings.stop_grace_s = 4;
    settings.balancer_wait = milliseconds(1000);
    start();
    const auto engine = std::make_shared<generating_engine>();
    engine->hold_before = 3;
    auto& upstream = add_engine("e1", engine);
    test_caller running(gateway->address());
    running.send(request("/gen/x"));
    ASSERT_TRUE(running.wait_for_body(events(1, 2)));
    bool clean = false;
    std::thread stop([&] { clean = gateway->drain(); });
    while (readiness() != 503)
        std::this_thread::yield();
    const auto refused = send_request("/gen/x");
    EXPECT_EQ(refused.status(), 503U);
    EXPECT_NE(refused.field("Retry-After"), "");
    engine->hold_before = 1000;
    EXPECT_TRUE(running.read().whole);
    stop.join();
    EXPECT_TRUE(clean);
    EXPECT_EQ(streams(upstream).size(), 1U);
}

// Guards against a truncated stream that looks complete: the only engine
// crashes, there is no backup, and the request is not idempotent.
TEST_F(generations, a_stream_that_can_not_resume_never_looks_complete)
{
    start();
    const auto engine = std::make_shared<generating_engine>();
    engine->break_before = 5;
    auto& upstream = add_engine("e1", engine);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    const auto answer = caller.read();
    EXPECT_FALSE(answer.whole);
    EXPECT_EQ(answer.body, events(1, 4));
    EXPECT_EQ(streams(upstream).size(), 1U);
}

TEST_F(generations, a_resumable_stream_continues_in_a_new_run)
{
    start();
    const auto first = std::make_shared<generating_engine>();
    const auto second = std::make_shared<generating_engine>();
    first->break_before = 5;
    second->break_before = 5;
    add_engine("e1", first);
    add_engine("e2", second);
    const auto answer = send_request("/res/x");
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    for (const auto& upstream : upstreams) {
        const auto arrived = streams(*upstream);
        ASSERT_EQ(arrived.size(), 1U);
        EXPECT_EQ(arrived[0].field("Kv-From"), "");
        EXPECT_EQ(arrived[0].field("Kv-Backup"), "");
    }
}

} // namespace
} // namespace cyclamenrun::testing_support
