#include "gateway_fixture.hpp"
#include "generating_engine.hpp"

#include <memory>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** A gateway and engines of several software versions. */
class software_versions : public gateway_fixture
{
protected:
    software_versions() { start(); }

    /** Adds an engine of a version; empty: its record names none. */
    generating_engine& add_engine(const std::string& id,
                                  const std::string& of_version)
    {
        version = of_version;
        engines.push_back(std::make_shared<generating_engine>());
        add(id, script_of(engines.back()), "model");
        return *engines.back();
    }

    /** Streams that have arrived at the upstream at this index. */
    std::size_t streams_at(std::size_t index) const
    {
        std::size_t count = 0;
        for (const auto& request : upstreams[index]->arrived())
            if (request.head.target == "/gen/x" ||
                request.head.target == "/res/x")
                ++count;
        return count;
    }

    /** Resumes a stream after its fourth event. */
    caller_answer resume(const std::string& first_id)
    {
        test_caller caller(gateway->address());
        auto fields = std::string("Last-Event-Id: 4\r\n");
        if (!first_id.empty())
            fields += "Resumes: " + first_id + "\r\n";
        caller.send(request("/res/x", "k1", fields));
        return caller.read();
    }

    /** Begins a stream at the only engine and loses it after four events. */
    void begin_and_lose_stream()
    {
        engines.front()->break_before = 5;
        EXPECT_FALSE(send_request("/res/x").whole);
        engines.front()->break_before = 1000;
    }

    std::vector<std::shared_ptr<generating_engine>> engines;
};

// Guards against a move to an engine of another version.
TEST_F(software_versions, a_generation_stays_rather_than_change_its_version)
{
    auto& first = add_engine("e1", "v1");
    first.hold_before = 5;
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", "v2");
    drain("e1");
    std::this_thread::sleep_for(milliseconds(400));
    first.hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(first.orders, 0);
    EXPECT_EQ(streams_at(1), 0U);
}

TEST_F(software_versions, a_generation_moves_to_an_engine_of_its_version)
{
    add_engine("e1", "v1").hold_before = 5;
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", "v2");
    add_engine("e3", "v1");
    drain("e1");
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(streams_at(1), 0U);
    EXPECT_EQ(streams_at(2), 1U);
}

// Guards against a backup at an engine of another version.
TEST_F(software_versions, a_backup_is_kept_by_an_engine_of_its_version)
{
    add_engine("e1", "v1").break_before = 5;
    add_engine("e2", "v2").break_before = 5;
    EXPECT_FALSE(send_request("/gen/x").whole);
    EXPECT_FALSE(send_request("/gen/x").whole);
    EXPECT_EQ(streams_at(0) + streams_at(1), 2U);
    for (const auto& upstream : upstreams)
        for (const auto& request : upstream->arrived())
            EXPECT_EQ(request.field("Kv-Backup"), "");
}

// Guards against a new run that continues a stream at another version.
TEST_F(software_versions, a_resumable_stream_continues_at_its_version_only)
{
    add_engine("e1", "v1").break_before = 5;
    test_caller caller(gateway->address());
    engines[0]->hold_before = 4;
    caller.send(request("/res/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 3)));
    add_engine("e2", "v2");
    engines[0]->hold_before = 1000;
    EXPECT_FALSE(caller.read().whole);
    EXPECT_EQ(streams_at(1), 0U);
}

// Guards against a version that a stream has before its first event: until then
// any engine may run it.
TEST_F(software_versions, a_stream_without_events_is_free_to_choose)
{
    add_engine("e1", "v1").break_before = 1;
    test_caller caller(gateway->address());
    engines[0]->hold_before = 0;
    caller.send(request("/res/x"));
    upstreams[0]->wait_for(1);
    add_engine("e2", "v2");
    engines[0]->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(streams_at(1), 1U);
}

// Guards against a caller whose stream goes on at another version, at the
// gateway that began it.
TEST_F(software_versions, a_caller_resumes_at_the_version_that_began)
{
    add_engine("e1", "v1");
    begin_and_lose_stream();
    add_engine("e2", "v2");
    add_engine("e3", "v2");
    add_engine("e4", "v2");
    const auto first_id = "r" + std::to_string(last_id);
    for (int i = 0; i < 5; ++i) {
        const auto answer = resume(first_id);
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.body, events(5, generating_engine::last_event));
    }
    EXPECT_EQ(streams_at(0), 6U);
}

// Guards against a guess, and against a caller that waits for an answer that
// is known: the last engine of its version has left.
TEST_F(software_versions, a_stream_whose_version_has_left_is_refused_at_once)
{
    add_engine("e1", "v1");
    begin_and_lose_stream();
    add_engine("e2", "v2");
    remove_upstream("e1");
    wait_for_upstreams(1);
    const auto began = steady_now();
    const auto answer = resume("r" + std::to_string(last_id));
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_GT(std::stod(answer.field("Retry-After")), 0);
    EXPECT_LT(steady_now() - began, milliseconds(500));
    EXPECT_EQ(streams_at(1), 0U);
}

// Guards against a guess while two versions serve.
TEST_F(software_versions, a_stream_of_unknown_version_is_refused)
{
    add_engine("e1", "v1");
    add_engine("e2", "v2");
    for (const auto* id : {"unheard-of", ""}) {
        const auto answer = resume(id);
        EXPECT_EQ(answer.status(), 503U);
        EXPECT_GT(std::stod(answer.field("Retry-After")), 0);
    }
    EXPECT_EQ(streams_at(0) + streams_at(1), 0U);
}

// Guards against two upstreams that name no version, and may have different
// ones.
TEST_F(software_versions, nothing_is_assumed_of_engines_without_a_version)
{
    add_engine("e1", "");
    begin_and_lose_stream();
    add_engine("e2", "");
    add_engine("e3", "v2");
    const auto answer = resume("r" + std::to_string(last_id));
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_EQ(streams_at(0) + streams_at(1) + streams_at(2), 1U);
}

// Guards against refusals in a deployment whose directory has no versions.
TEST_F(software_versions, no_version_at_all_counts_as_one)
{
    add_engine("e1", "");
    begin_and_lose_stream();
    add_engine("e2", "");
    remove_upstream("e1");
    wait_for_upstreams(1);
    const auto answer = resume("r" + std::to_string(last_id));
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(5, generating_engine::last_event));
}

// Guards against an id that two streams of different versions have used.
TEST_F(software_versions, an_id_that_was_used_twice_tells_nothing)
{
    add_engine("e1", "v1");
    begin_and_lose_stream();
    const auto first_id = "r" + std::to_string(last_id);
    add_engine("e2", "v2").break_before = 5;
    drain("e1");
    std::this_thread::sleep_for(milliseconds(50));
    --last_id;
    EXPECT_FALSE(send_request("/res/x").whole);
    engines[1]->break_before = 1000;
    publish_record(records.front());
    std::this_thread::sleep_for(milliseconds(50));
    EXPECT_EQ(resume(first_id).status(), 503U);
}

// Guards against an address that an engine of another version uses again.
TEST_F(software_versions, a_reused_address_has_the_version_of_its_process)
{
    add_engine("e1", "v1");
    begin_and_lose_stream();
    const auto first_id = "r" + std::to_string(last_id);
    auto successor = records.front();
    successor.id = "e2";
    successor.version = "v2";
    ++successor.started_ms;
    publish_record(successor);
    remove_upstream("e1");
    std::this_thread::sleep_for(milliseconds(50));
    const auto arrived = streams_at(0);
    EXPECT_EQ(resume(first_id).status(), 503U);
    EXPECT_EQ(streams_at(0), arrived);
}

} // namespace
} // namespace cyclamenrun::testing_support
