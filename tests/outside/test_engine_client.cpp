#include "../standins/token_text.hpp"
#include "../support/scripted_server.hpp"
#include "../support/stand_in_process.hpp"
#include "cancellation.hpp"
#include "engine_client.hpp"

#include <gtest/gtest.h>
#include <memory>

namespace cyclamenrun
{
namespace
{

using testing_support::scripted_server;
using testing_support::test_limit;

struct collected {
    tl::expected<engine_result, engine_error> result;
    std::string text;
};

class engine_client_test : public ::testing::Test
{
protected:
    engine_client_test()
        : engine("engine", {"--step-ms", "2", "--memory-tokens", "120"}),
          client(engine.address(), {}, steady_now)
    {
    }

    /** `stand_in`: a JSON object of options for the stand-in engine. */
    static engine_request request(const std::string& id,
                                  const std::string& stand_in)
    {
        return {id, "/v1/completions",
                R"({"prompt":"a register line","stand_in":)" + stand_in + "}",
                0, steady_now() + test_limit};
    }

    collected run(const engine_request& wanted) { return run(client, wanted); }

    static collected run(engine_client& client, const engine_request& wanted)
    {
        std::string text;
        cancellation cancel;
        const engine_events events{
            [&text](const std::string& token) { text += token; }};
        auto result = client.run(wanted, events, cancel);
        return {std::move(result), std::move(text)};
    }

    testing_support::stand_in_process engine;
    engine_client client;
};

TEST_F(engine_client_test, receives_every_token_once_and_in_order)
{
    const auto got = run(request("r1", R"({"output_tokens":40})"));
    ASSERT_TRUE(got.result) << got.result.error().detail;
    EXPECT_EQ(got.text, stand_in::answer_text("a register line", 40));
    EXPECT_EQ(got.result->tokens, 40);
    EXPECT_EQ(got.result->finish_reason, "stop");
    EXPECT_NE(got.result->engine_epoch, 0);
    EXPECT_EQ(got.result->engine_epoch, client.epoch());
    auto chat = request("r2", R"({"output_tokens":3})");
    chat.path = "/v1/chat/completions";
    chat.body = R"({"messages":[{"role":"user","content":"hello"}],
                    "stand_in":{"output_tokens":3}})";
    EXPECT_EQ(run(chat).text, stand_in::answer_text("hello", 3));
}

// The engine's memory of 120 tokens fits two runs at first, but not both at
// their full length, so the engine preempts one. The preempted run must neither
// lose nor repeat a token.
TEST_F(engine_client_test, a_preempted_run_still_completes_its_answer)
{
    collected other;
    std::thread second(
        [&] { other = run(request("r2", R"({"output_tokens":100})")); });
    const auto got = run(request("r1", R"({"output_tokens":100})"));
    second.join();
    ASSERT_TRUE(got.result && other.result);
    EXPECT_EQ(got.text, stand_in::answer_text("a register line", 100));
    EXPECT_EQ(other.text, got.text);
    EXPECT_FALSE(engine.history("preempt").empty());
}

// Guards against an engine that keeps generating tokens after the caller has
// disconnected in the middle of a long answer.
TEST_F(engine_client_test, cancelling_ends_the_run_at_the_engine)
{
    cancellation cancel;
    const engine_events events{[&](const std::string&) { cancel.cancel(); }};
    const auto result =
        client.run(request("r1", R"({"output_tokens":60000})"), events, cancel);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().failure, engine_failure::cancelled);
    const auto ended = engine.wait_for_history("cancel", 1);
    EXPECT_EQ(json_string(*ended[0], "request_id"), "r1");
    const auto runs = client.runs(steady_now() + test_limit);
    ASSERT_TRUE(runs);
    EXPECT_TRUE(runs->empty());
}

TEST_F(engine_client_test, a_run_can_be_cancelled_by_its_id)
{
    collected got;
    std::thread runner(
        [&] { got = run(request("r1", R"({"output_tokens":60000})")); });
    engine.wait_for_history("first_token", 1);
    EXPECT_TRUE(client.cancel("r1", steady_now() + test_limit));
    runner.join();
    ASSERT_FALSE(got.result);
    EXPECT_EQ(got.result.error().failure, engine_failure::lost_mid_stream);
}

// The engine crashes in the middle of an answer and its VM starts another
// engine. Guards against taking the truncated answer for a complete one, and
// against missing the restart.
TEST_F(engine_client_test, an_engine_restart_is_detected)
{
    ASSERT_TRUE(run(request("r0", R"({"output_tokens":1})")).result);
    const auto first_epoch = client.epoch();
    const auto got =
        run(request("r1", R"({"output_tokens":40,"crash_at_token":5})"));
    ASSERT_FALSE(got.result);
    EXPECT_EQ(got.result.error().failure, engine_failure::lost_mid_stream);
    EXPECT_TRUE(got.result.error().may_have_run);
    EXPECT_EQ(engine.process().wait(), -SIGKILL);

    const testing_support::stand_in_process next("engine", {});
    engine_client next_client(next.address(), {}, steady_now);
    auto wanted = request("r2", R"({"output_tokens":1})");
    wanted.expected_epoch = first_epoch;
    const auto refused = run(next_client, wanted);
    ASSERT_FALSE(refused.result);
    EXPECT_EQ(refused.result.error().failure, engine_failure::epoch_changed);
    EXPECT_TRUE(refused.text.empty());
}

TEST_F(engine_client_test, an_answer_to_another_request_is_refused)
{
    engine.set_fault(R"({"foreign_id":true})");
    const auto got = run(request("r1", R"({"output_tokens":5})"));
    ASSERT_FALSE(got.result);
    EXPECT_EQ(got.result.error().failure, engine_failure::malformed);
    EXPECT_TRUE(got.text.empty());
}

TEST_F(engine_client_test, a_request_refused_before_the_start_has_not_run)
{
    engine.set_fault(R"({"refuse_status":503})");
    const auto got = run(request("r1", "{}"));
    ASSERT_FALSE(got.result);
    EXPECT_EQ(got.result.error().failure, engine_failure::bad_status);
    EXPECT_EQ(got.result.error().status, 503);
    EXPECT_FALSE(got.result.error().may_have_run);
    auto no_json = request("r2", "{}");
    no_json.body = "no JSON";
    EXPECT_FALSE(run(no_json).result.error().may_have_run);
}

TEST_F(engine_client_test, an_order_with_an_old_fencing_number_is_refused)
{
    const auto order = [this](std::uint64_t fence) {
        return client.order({fence, engine_action::load_adapter, "tags-3",
                             steady_now() + test_limit});
    };
    EXPECT_TRUE(order(7));
    const auto refused = order(6);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().status, 409);
    EXPECT_FALSE(refused.error().may_have_run);
    EXPECT_EQ(engine.history("order").size(), 1);
}

TEST(engine_stream, incomplete_or_malformed_streams_give_typed_errors)
{
    const std::string token =
        R"(data: {"id":"r1","choices":[{"text":"a","finish_reason":null}]})"
        "\n\n";
    const std::string end =
        R"(data: {"id":"r1","choices":[{"text":"","finish_reason":"stop"}]})"
        "\n\n";
    const std::vector<std::pair<std::string, engine_failure>> cases{
        {token + end, engine_failure::lost_mid_stream},
        {token + "data: [DONE]\n\n", engine_failure::malformed},
        {end + token + "data: [DONE]\n\n", engine_failure::malformed},
        {"data: {}\n\n", engine_failure::malformed},
        {"data: no JSON\n\n", engine_failure::malformed},
        {"data: " + std::string(100000, 'x') + "\n\n",
         engine_failure::too_large},
    };
    for (const auto& [events, failure] : cases) {
        const scripted_server server(scripted_server::reply(
            "HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(events.size()) + "\r\n\r\n" + events));
        engine_client client(server.address(), {}, steady_now);
        cancellation cancel;
        const auto result = client.run(
            {"r1", "/v1/completions", "{}", 0, steady_now() + test_limit},
            {[](const std::string&) {}}, cancel);
        ASSERT_FALSE(result) << events.substr(0, 80);
        EXPECT_EQ(result.error().failure, failure) << events.substr(0, 80);
    }
}

} // namespace
} // namespace cyclamenrun
