#include "../support/scripted_server.hpp"
#include "../support/stand_in_process.hpp"
#include "cancellation.hpp"
#include "platform_log_client.hpp"
#include "runner_client.hpp"
#include "vm_list_client.hpp"
#include "weight_store_client.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <thread>

namespace cyclamenrun
{
namespace
{

using testing_support::scripted_server;
using testing_support::stand_in_process;
using testing_support::test_limit;

constexpr milliseconds no_wait(0);

platform_log_client log_at(const std::string& address)
{
    return {address, "config", {}, test_limit, steady_now};
}

TEST(platform_log_client, reads_what_was_appended_byte_for_byte)
{
    const stand_in_process platform("platform", {});
    auto log = log_at(platform.address());
    const std::string bytes("\0\xff\n binary \"", 12);
    EXPECT_EQ(log.append(bytes), 0U);
    EXPECT_EQ(log.append(""), 1U);
    EXPECT_EQ(log.append(std::string(100000, 'x')), 2U);
    const auto page = log.read(0, 2, no_wait);
    ASSERT_TRUE(page);
    EXPECT_EQ(page->next, 3);
    EXPECT_EQ(page->records,
              (std::vector<platform_log_record>{{0, bytes}, {1, ""}}));
}

TEST(platform_log_client, a_reader_waits_for_the_next_record)
{
    const stand_in_process platform("platform", {});
    auto log = log_at(platform.address());
    tl::expected<log_page, log_error> page;
    std::thread reader([&] { page = log.read(0, 10, test_limit); });
    auto writer = log_at(platform.address());
    EXPECT_EQ(writer.append("a"), 0U);
    reader.join();
    ASSERT_TRUE(page);
    EXPECT_EQ(page->records, (std::vector<platform_log_record>{{0, "a"}}));
}

TEST(platform_log_client, each_failure_gives_its_type)
{
    const stand_in_process platform("platform", {"--appends-per-second", "3",
                                                 "--retain-records", "2",
                                                 "--max-record-bytes", "10"});
    auto log = log_at(platform.address());
    EXPECT_EQ(log.append("eleven char").error().failure,
              log_failure::too_large);
    for (int count = 0; count < 3; ++count)
        ASSERT_TRUE(log.append("x"));
    const auto limited = log.append("x").error();
    EXPECT_EQ(limited.failure, log_failure::rate_limited);
    EXPECT_EQ(limited.retry_after, milliseconds(1000));
    const auto deleted = log.read(0, 10, no_wait).error();
    EXPECT_EQ(deleted.failure, log_failure::retained_away);
    EXPECT_EQ(deleted.first_retained, 1);
    platform.set_fault(R"({"log_out":true})");
    EXPECT_EQ(log.append("x").error().failure, log_failure::unavailable);
    EXPECT_EQ(log.read(1, 10, no_wait).error().failure,
              log_failure::unavailable);
}

// Guards against reporting a change as failed although it is in force: the
// log's answer was lost after the append had taken effect.
TEST(platform_log_client, a_lost_append_answer_is_an_unknown_outcome)
{
    const stand_in_process platform("platform", {});
    auto log = log_at(platform.address());
    platform.set_fault(R"({"lose_append_answers":1})");
    const auto appended = log.append("a");
    ASSERT_FALSE(appended);
    EXPECT_EQ(appended.error().failure, log_failure::timed_out);
    EXPECT_EQ(log.read(0, 10, no_wait)->records.size(), 1);
}

TEST(platform_log_client, invalid_pages_give_a_typed_error)
{
    scripted_server server;
    auto log = log_at(server.address());
    const auto failure_of = [&](const std::string& text) {
        server.set_reply("HTTP/1.1 200 OK\r\nContent-Length: " +
                         std::to_string(text.size()) + "\r\n\r\n" + text);
        return log.read(5, 10, no_wait).error().failure;
    };
    // The offset must be a number from 5, where the read starts, to before
    // `next`: a reader would apply a change twice if it went back.
    for (const auto* offsets : {"4", "9", "-1", "\"5\"", "null"})
        EXPECT_EQ(failure_of(R"({"first_retained":0,"next":9,"records":[)"
                             R"({"data":"","offset":)" +
                             std::string(offsets) + "}]}"),
                  log_failure::malformed)
            << offsets;
    EXPECT_EQ(failure_of(std::string(50000, '[')), log_failure::malformed);
    EXPECT_TRUE(rc::check([&](const std::string& text) {
        RC_ASSERT(failure_of(text) == log_failure::malformed);
    }));
}

TEST(vm_list_client, shows_changes_to_a_waiting_reader)
{
    const stand_in_process platform("platform", {"--list-lag-ms", "30"});
    vm_list_client client(platform.address(), {}, test_limit, steady_now);
    const auto before = client.read(0, no_wait);
    ASSERT_TRUE(before);
    EXPECT_TRUE(before->vms.empty());
    testing_support::request_answer(
        platform.address(), "PUT", "/v1/vms/vm-1",
        R"({"address":"127.0.0.9:80","region":"cuyo","failure_domain":)"
        R"("san-juan","service":"redactor","state":"leaving"})");
    const auto after = client.read(before->revision, test_limit);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->vms,
              (std::vector<vm>{{"vm-1", "127.0.0.9:80", "cuyo", "san-juan",
                                "redactor", vm_state::leaving}}));
    platform.set_fault(R"({"list_out":true})");
    EXPECT_EQ(client.read(0, no_wait).error(), vm_list_failure::unavailable);
}

TEST(weight_store_client, waits_for_retry_after_plus_jitter)
{
    const stand_in_process platform("platform", {"--weights-per-second", "1"});
    time_point now = steady_now();
    std::vector<milliseconds> waits;
    weight_store_client client(
        platform.address(), {}, [&now] { return now; }, [] { return 0.5; },
        [&](milliseconds wait) {
            waits.push_back(wait);
            now += wait;
            return true;
        });
    ASSERT_EQ(client.fetch("model", now + test_limit)->size(), 1024);
    ASSERT_TRUE(waits.empty());
    EXPECT_EQ(client.fetch("model", now + milliseconds(2500)).error(),
              weight_store_failure::timed_out);
    // Retry-After of 1 s plus 100 ms, then 200 ms: the delay doubles per
    // attempt and is multiplied by 0.5 to 1.5; the random number 0.5 gives a
    // factor of 1.
    EXPECT_EQ(waits, (std::vector<milliseconds>{milliseconds(1100),
                                                milliseconds(1200)}));
}

class runner_client_test : public ::testing::Test
{
protected:
    tl::expected<runner_answer, http_error> call(const std::string& id)
    {
        runner_client client(runner.address(), {}, steady_now);
        cancellation cancel;
        return client.call({id, "/calls", "application/json", R"({"sample":7})",
                            steady_now() + test_limit},
                           cancel);
    }

    stand_in_process runner{"runner", {}};
};

TEST_F(runner_client_test, returns_every_answer_of_the_runner)
{
    const auto answer = call("c1");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->content_type, "application/json");
    EXPECT_EQ(json_string(*parse_json_object(answer->body), "request_id"),
              "c1");
    runner.set_fault(R"({"error_status":500})");
    EXPECT_EQ(call("c2")->status, 500);
}

TEST_F(runner_client_test, an_answer_without_framing_is_unconfirmed)
{
    runner.set_fault(R"({"unframed":1})");
    const auto answer = call("c1");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->integrity, answer_integrity::unconfirmed);
    EXPECT_TRUE(parse_json_object(answer->body));
}

// Guards against a truncated answer that is accepted: the runner's process ends
// in the middle of an answer without framing.
TEST(runner_client, an_answer_that_a_crash_ends_is_lost)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
    std::thread crashing([&] {
        auto connection = listener.acceptConnection();
        testing_support::scripted_server::receive_request(connection);
        listener.close();
        testing_support::scripted_server::send(connection,
                                               "HTTP/1.1 200 OK\r\n\r\nhal");
        connection.shutdownSend();
        testing_support::scripted_server::wait_for_close(connection);
    });
    runner_client client(listener.address().toString(), {}, steady_now);
    cancellation cancel;
    const auto answer = client.call(
        {"c1", "/calls", "", "", steady_now() + test_limit}, cancel);
    crashing.join();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().failure, http_failure::lost_mid_answer);
    EXPECT_TRUE(answer.error().may_have_run);
}

// Guards against running a call twice: the runner's answer is lost after the
// call has taken effect, and a component on the path sends the call again.
TEST_F(runner_client_test, a_call_whose_answer_is_lost_runs_once)
{
    runner.set_fault(R"({"lose_answers":1})");
    const auto answer = call("c1");
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().failure, http_failure::lost_before_answer);
    EXPECT_TRUE(answer.error().may_have_run);
    EXPECT_EQ(runner.history("run").size(), 1);
}

} // namespace
} // namespace cyclamenrun
