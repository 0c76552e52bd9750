#include "http_dialect.hpp"
#include "number_limits.hpp"
#include "record_parser.hpp"

#include <gtest/gtest.h>
#include <string>

namespace cyclamenrun::platform
{
namespace
{

/** Numbers that no sound process sends, as JSON and header text. */
constexpr const char* wild_numbers[] = {"1e300",
                                        "-1e300",
                                        "18446744073709551615",
                                        "9223372036854775808",
                                        "1e19",
                                        "-9223372036854775808",
                                        "4e15",
                                        "99999999999999999999999"};

/** Puts a number in each place of a text that is marked by '#'. */
std::string with_number(const std::string& text, const std::string& number)
{
    std::string result;
    for (const char each : text) {
        if (each == '#')
            result += number;
        else
            result += each;
    }
    return result;
}

http_reply reply_of(const std::string& body)
{
    http_reply reply;
    reply.status = 200;
    reply.body = body;
    return reply;
}

// Guards against a conversion that is undefined for the number, or an exception
// out of the event loop.
TEST(number_limits, reject_a_load_with_a_wild_number)
{
    const http_dialect dialect;
    for (const std::string number : wild_numbers)
        for (const std::string field :
             {"active", "queued", "kv_used", "kv_total"}) {
            std::string body = "{";
            for (const std::string each :
                 {"active", "queued", "kv_used", "kv_total"})
                body +=
                    "\"" + each + "\":" + (each == field ? number : "1") + ",";
            body.back() = '}';
            EXPECT_FALSE(dialect.read_load(reply_of(body))) << body;
        }
}

TEST(number_limits, skip_wild_numbers_that_a_load_can_do_without)
{
    const http_dialect dialect;
    for (const std::string number : wild_numbers) {
        const auto load = dialect.read_load(reply_of(with_number(
            R"({"active":1,"queued":0,"kv_used":5,"kv_total":9,"next":#,)"
            R"("leaves_ms":#,"runs":[["r",#]]})",
            number)));
        // The last number does not parse, nor does the text with it then.
        ASSERT_EQ(load.has_value(), number.size() <= 20) << number;
        if (!load)
            continue;
        EXPECT_TRUE(load->generations.empty()) << number;
        EXPECT_EQ(load->next_prompt_tokens, 0U) << number;
    }
}

TEST(number_limits, reject_a_configuration_with_a_wild_number)
{
    for (const std::string number : wild_numbers) {
        for (const std::string field :
             {"timeout_ms", "objective_ms", "gap_target_ms", "max_attempts",
              "priority"}) {
            auto text = std::string(R"({"version":1,"routes":[{"name":"a",")");
            text += field;
            text += "\":" + number + "}]}";
            EXPECT_FALSE(read_configuration(text)) << text;
        }
        for (const std::string field : {"cold_s", "cold_per_s"}) {
            auto text = std::string(
                R"({"version":1,"routes":[],"services":[{"name":"a",")");
            text += field;
            text += "\":" + number + "}]}";
            EXPECT_FALSE(read_configuration(text)) << text;
        }
        EXPECT_FALSE(
            read_configuration(R"({"version":)" + number + R"(,"routes":[]})"));
        EXPECT_FALSE(read_configuration(
            R"({"version":1,"routes":[],"limits":{"idle_timeout_ms":)" +
            number + "}}"));
    }
}

TEST(number_limits, reject_an_upstream_record_with_a_wild_number)
{
    const std::string record =
        R"({"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready",)";
    for (const std::string number : wild_numbers) {
        EXPECT_FALSE(
            read_upstream("u", with_number(record + R"("slots":#})", number)));
        EXPECT_FALSE(read_upstream(
            "u", with_number(record + R"("slots":1,"born":#})", number)));
    }
    EXPECT_TRUE(read_upstream("u", record + R"("slots":1,"born":7})"));
}

TEST(number_limits, refuse_a_request_with_a_wild_number)
{
    const http_dialect dialect;
    http_head head;
    head.method = "GET";
    head.target = "/";
    head.fields = {{"Attempt-Id", "a"}, {"Host", "h"}};
    for (const auto& [field, value] :
         {std::pair{"Token-Usage", "4294967295, 1"},
          std::pair{"Token-Usage", "1, 4294967295"},
          std::pair{"Last-Event-Id", "18446744073709551615"}}) {
        auto wild = head;
        wild.fields.push_back({field, value});
        const auto read = dialect.read_request(wild);
        ASSERT_FALSE(read) << field << value;
        EXPECT_EQ(read.error(), gateway_refusal::malformed_request);
    }
    head.fields.push_back({"Deadline-Ms", "9223372036854775807"});
    const auto read = dialect.read_request(head);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->time_left->count(), number_limits::duration_ms);
}

TEST(number_limits, ignore_a_wild_limit_of_an_upstream)
{
    const http_dialect dialect;
    http_head head;
    head.status = 200;
    for (const auto* limit : {"1e300", "inf", "nan", "-1"}) {
        head.fields = {{"Server-Limit", limit},
                       {"Keep-Alive", "timeout=4294967295"}};
        const auto facts = dialect.read_response(head);
        EXPECT_FALSE(facts.request_limit) << limit;
        EXPECT_FALSE(facts.keep_alive_timeout) << limit;
    }
}

} // namespace
} // namespace cyclamenrun::platform
