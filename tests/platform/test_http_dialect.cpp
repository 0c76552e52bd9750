#include "http_dialect.hpp"
#include "names.hpp"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>

namespace cyclamenrun::platform
{
namespace
{

http_head caller_head()
{
    http_head head;
    head.method = "POST";
    head.target = "/a/2f?x=1";
    head.fields = {
        {"Host", "h.example"},
        {"Attempt-Id", "9c41"},
        {"Model", "m"},
        {"Token-Usage", "1460,80"},
        {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
        {"Deadline-Ms", "39000"},
        {"Authorization", "Bearer k1"},
        {"Length-Hint", "70"},
    };
    return head;
}

TEST(http_dialect, reads_a_request)
{
    const auto facts = http_dialect().read_request(caller_head());
    ASSERT_TRUE(facts);
    EXPECT_EQ(facts->id, "9c41");
    EXPECT_EQ(facts->host, "h.example");
    EXPECT_EQ(facts->key, "k1");
    EXPECT_EQ(facts->time_left, milliseconds(39000));
    EXPECT_EQ(facts->prompt_tokens, 1460U);
    EXPECT_EQ(facts->output_token_limit, 80U);
    EXPECT_EQ(facts->expected_output_tokens, 70U);
    ASSERT_EQ(facts->prompt_parts.size(), 2U);
    EXPECT_EQ(facts->prompt_parts[1].tokens, 410U);
}

std::vector<std::string> ids_of(const std::string& list)
{
    auto head = caller_head();
    for (auto& field : head.fields)
        if (field.name == header::prompt_parts)
            field.value = list;
    const auto facts = http_dialect().read_request(head);
    std::vector<std::string> ids;
    for (const auto& part :
         facts ? facts->prompt_parts : std::vector<prompt_part>())
        ids.push_back(part.id);
    return ids;
}

// Guards against one part that is taken for several: its id may be written in
// either case and with zeros before it.
TEST(http_dialect, reads_all_spellings_of_a_part_as_one)
{
    EXPECT_EQ(ids_of("5C1E07A2:8, 005c1e07a2:9,5c1e07A2"),
              std::vector<std::string>(3, "5c1e07a2"));
    EXPECT_EQ(ids_of("00:1,0:1"), std::vector<std::string>(2, "0"));
}

TEST(http_dialect, reads_lists_of_any_number_of_parts)
{
    EXPECT_TRUE(ids_of("").empty());
    EXPECT_TRUE(ids_of(",:8,").empty());
    EXPECT_EQ(ids_of("a").size(), 1U);
    std::string many;
    for (int i = 0; i < 3000; ++i)
        many += (i == 0 ? "a" : ",a") + std::to_string(i) + ":1";
    EXPECT_EQ(ids_of(many).size(), 3000U);
}

TEST(http_dialect, rejects_ambiguous_requests)
{
    for (const auto* name :
         {"Attempt-Id", "Host", "Authorization", "Deadline-Ms"}) {
        auto head = caller_head();
        head.fields.push_back({name, "other"});
        EXPECT_FALSE(http_dialect().read_request(head)) << name;
    }
    auto head = caller_head();
    head.target = "http://elsewhere/";
    EXPECT_FALSE(http_dialect().read_request(head));
    head = caller_head();
    std::erase_if(head.fields,
                  [](const auto& field) { return field.name == "Attempt-Id"; });
    EXPECT_FALSE(http_dialect().read_request(head));
}

// A caller sets reserved fields: another team's name, an upstream of its
// choice, the memory of another request. If they were forwarded, the caller
// could read other teams' data.
TEST(http_dialect, does_not_forward_reserved_fields)
{
    auto head = caller_head();
    const std::vector<std::string> reserved{
        "Tenant",         "tenant",       "Expect-Instance",
        "Kv-From",        "KV-BACKUP",    "Kv-Hold",
        "Kv-Fetch",       "Pin-Ms",       "Request-Priority",
        "Expect-Version", "Not-Executed", "Response-Seal"};
    for (const auto& name : reserved)
        head.fields.push_back({name, "forged"});
    head.fields.push_back({"Connection", "close, X-Once"});
    head.fields.push_back({"X-Once", "1"});
    head.fields.push_back({"X-Kept", "1"});
    dispatch_facts facts;
    facts.time_left = milliseconds(123);
    facts.upstream_id = "i-1";
    facts.team = "north";
    const auto sent = http_dialect().upstream_head(head, facts);
    for (const auto& field : sent.fields)
        EXPECT_NE(field.value, "forged") << field.name;
    EXPECT_EQ(sent.find("Tenant"), "north");
    EXPECT_EQ(sent.find("Expect-Instance"), "i-1");
    EXPECT_EQ(sent.find("Deadline-Ms"), "123");
    EXPECT_EQ(sent.count("Deadline-Ms"), 1U);
    EXPECT_FALSE(sent.find("Authorization"));
    EXPECT_FALSE(sent.find("Connection"));
    EXPECT_FALSE(sent.find("X-Once"));
    EXPECT_EQ(sent.find("X-Kept"), "1");
    EXPECT_EQ(sent.find("Token-Usage"), "1460,80");
    EXPECT_EQ(sent.target, "/a/2f?x=1");
}

TEST(http_dialect, sends_source_of_a_continued_generation)
{
    dispatch_facts facts;
    facts.upstream_id = "i-2";
    facts.resume_from = continuation{{"10.0.0.1", 80}, "h7"};
    facts.last_event_id = 41;
    facts.backup = ip_endpoint{"10.0.0.2", 81};
    auto head = caller_head();
    head.fields.push_back({"Last-Event-Id", "3"});
    const auto sent = http_dialect().upstream_head(head, facts);
    EXPECT_EQ(sent.find("Kv-From"), "10.0.0.1:80/h7");
    EXPECT_EQ(sent.find("Kv-Backup"), "10.0.0.2:81");
    EXPECT_EQ(sent.find("Last-Event-Id"), "41");
    EXPECT_EQ(sent.count("Last-Event-Id"), 1U);
    EXPECT_FALSE(sent.find("Tenant"));
}

TEST(http_dialect, reads_a_response)
{
    http_head head;
    head.fields = {{"Attempt-Id", "9c41"},
                   {"Response-Seal", "s"},
                   {"Keep-Alive", "timeout=7, max=3"}};
    const auto facts = http_dialect().read_response(head);
    EXPECT_EQ(facts.request_id, "9c41");
    EXPECT_TRUE(facts.sealed);
    EXPECT_FALSE(facts.not_run);
    EXPECT_EQ(facts.keep_alive_timeout, milliseconds(7000));
}

TEST(http_dialect, reads_what_an_upstream_says_of_itself)
{
    http_head head;
    head.status = 503;
    head.fields = {{"Retry-After", "2.5"}, {"Server-Leaving", "1"}};
    const auto rejected = http_dialect().read_response(head).notice;
    EXPECT_EQ(rejected.rest, milliseconds(2500));
    EXPECT_TRUE(rejected.leaving);
    // Only a 503 asks for rest; any answer may say that its upstream leaves.
    head.status = 200;
    const auto served = http_dialect().read_response(head).notice;
    EXPECT_FALSE(served.rest);
    EXPECT_TRUE(served.leaving);
    const auto replied =
        http_dialect().read_notice({503, "", {{"retry-after", "1e300"}}});
    EXPECT_EQ(replied.rest, max_upstream_rest);
    EXPECT_FALSE(replied.leaving);
    EXPECT_FALSE(
        http_dialect().read_notice({503, "", {{"Retry-After", "-4"}}}).rest);
}

TEST(http_dialect, reads_how_long_an_upstream_is_cold)
{
    const auto cold_left = [](const std::string& value) {
        return http_dialect()
            .read_notice({200, "", {{"Cold-Ms", value}}})
            .cold_left;
    };
    EXPECT_EQ(cold_left("1500"), milliseconds(1500));
    EXPECT_EQ(cold_left("0"), milliseconds(0));
    EXPECT_EQ(cold_left("12.9"), milliseconds(12));
    for (const std::string absurd : {"", "-1", "x", "1e300", "nan", "1 2"})
        EXPECT_FALSE(cold_left(absurd)) << absurd;
    EXPECT_FALSE(http_dialect().read_notice({200, "", {}}).cold_left);
}

TEST(http_dialect, reads_a_load)
{
    const auto load = http_dialect().read_load(
        {200, R"({"queued":2,"active":5,"kv_used":410,"kv_total":900,)"
              R"("runs":[["a",1,2,5],["b",1,2,5]],"next":77,)"
              R"("state":"draining","leaves_ms":1555})"});
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 5U);
    EXPECT_EQ(load->starting, 3U);
    EXPECT_EQ(load->queued, 2U);
    EXPECT_EQ(load->next_prompt_tokens, 77U);
    EXPECT_EQ(load->memory_used, 410U);
    EXPECT_TRUE(load->leaving);
    EXPECT_EQ(load->leaves_in_ms, 1555U);
    EXPECT_FALSE(http_dialect().read_load({200, "{}"}));
    EXPECT_FALSE(http_dialect().read_load({503, "{}"}));
}

TEST(http_dialect, reads_move_replies)
{
    using kind = move_reply::kind;
    const http_dialect dialect;
    const auto copied =
        dialect.read_move({200, R"({"handle":"h","created":9})"});
    EXPECT_EQ(copied.result, kind::copied);
    EXPECT_EQ(copied.handle, "h");
    EXPECT_EQ(copied.events_made, 9U);
    EXPECT_EQ(dialect.read_move({200, "{}"}).result, kind::invalid_reply);
    EXPECT_EQ(dialect.read_move({404, ""}).result, kind::not_running);
    EXPECT_EQ(dialect.read_move({409, ""}).result, kind::under_way);
    EXPECT_EQ(dialect.read_move({503, R"({"handle":"k"})"}).handle, "k");
    EXPECT_EQ(dialect.read_move({500, ""}).result, kind::invalid_reply);
    EXPECT_EQ(dialect.move_body("a\"b", {"10.0.0.1", 80}, true),
              R"({"id":"a\"b","to":"10.0.0.1:80","last":true})");
}

std::string content_of(const std::filesystem::path& file)
{
    std::ifstream stream(file);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// If the platform renames a field, only its own folder should have to change.
TEST(platform_boundary, platform_names_stay_in_their_folder)
{
    std::vector<std::string> names{"api_keys",    "kv_used", "log-read",
                                   "log-newest",  "kv-move", "cold_per_s",
                                   "cold_left_ms"};
    for (const auto name :
         {header::request_id, header::time_left_ms, header::prompt_parts,
          header::seal, header::team, header::upstream_id, header::not_run,
          header::token_counts, header::expected_output, header::resume_from,
          header::backup, header::cold_left_ms, topic::configuration,
          topic::upstreams})
        names.push_back('"' + std::string(name) + '"');
    const auto source = std::filesystem::path(CYCLAMENRUN_SOURCE_DIR) / "src";
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(source)) {
        if (!entry.is_regular_file())
            continue;
        const auto text = content_of(entry.path());
        for (const auto& name : names)
            EXPECT_EQ(text.find(name), std::string::npos)
                << name << " in " << entry.path();
    }
}

} // namespace
} // namespace cyclamenrun::platform
