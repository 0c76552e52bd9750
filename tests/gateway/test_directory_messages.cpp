#include "directory_messages.hpp"

#include "directory.pb.h"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

upstream_record record(const std::string& id, bool draining = false)
{
    upstream_record result;
    result.id = id;
    result.service = "model";
    result.address = {"10.0.0.1", 80};
    result.failure_domain = "d";
    result.slots = 24;
    result.draining = draining;
    result.started_ms = 1700000000000;
    result.version = "v1.2";
    return result;
}

v1::DirectoryAnswer good_answer()
{
    directory_page<upstream_change> page;
    page.items = {{"b", record("b", true)}, {"a", std::nullopt}};
    page.next_offset = 12;
    return answer_of(page);
}

TEST(directory_messages, arrive_as_they_were_sent)
{
    const auto read = read_upstreams(good_answer());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->next_offset, 12U);
    ASSERT_EQ(read->items.size(), 2U);
    EXPECT_EQ(read->items[0].record, record("b", true));
    EXPECT_EQ(read->items[1].id, "a");
    EXPECT_FALSE(read->items[1].record);
}

// Guards against a part that a gateway takes for all records, also when a
// monitor of an older build does not say what its answer is.
TEST(directory_messages, say_whether_they_are_complete)
{
    auto answer = good_answer();
    EXPECT_FALSE(read_upstreams(answer)->partial);
    answer.clear_complete();
    EXPECT_TRUE(read_upstreams(answer)->partial);
    directory_page<upstream_change> page;
    page.partial = true;
    EXPECT_TRUE(read_upstreams(answer_of(page))->partial);
}

// Guards against an answer that no gateway can read because of one record whose
// names are no text.
TEST(directory_messages, arrive_with_names_that_are_no_text)
{
    const std::string bytes = "\xff\xfe\xc3";
    directory_page<upstream_change> page;
    auto odd = record(bytes);
    odd.service = odd.failure_domain = odd.version = bytes;
    page.items = {{bytes, odd}, {"a", record("a")}, {bytes, std::nullopt}};
    page.next_offset = 12;
    v1::DirectoryAnswer answer;
    ASSERT_TRUE(answer.ParseFromString(page_bytes(page)));
    const auto read = read_upstreams(answer);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->items.size(), 3U);
    EXPECT_EQ(read->items[0].record, odd);
    EXPECT_EQ(read->items[1].record, record("a"));
    directory_page<configuration_text_record> settings;
    settings.items = {evacuation_change{bytes, true}};
    EXPECT_TRUE(answer.ParseFromString(page_bytes(settings)));
}

// Guards against an upstream that gateways behind a relay take for warm, or for
// one that says nothing.
TEST(directory_messages, carry_how_long_an_upstream_is_cold)
{
    directory_page<upstream_change> page;
    page.items = {{"a", record("a")}, {"b", record("b")}, {"c", record("c")}};
    page.items[1].record->cold_until = time_point{};
    const auto until = steady_now() + milliseconds(20'000);
    page.items[2].record->cold_until = until;
    const auto read = read_upstreams(answer_of(page));
    ASSERT_TRUE(read);
    EXPECT_FALSE(read->items[0].record->cold_until);
    EXPECT_EQ(read->items[1].record->cold_until, time_point{});
    ASSERT_TRUE(read->items[2].record->cold_until);
    EXPECT_LE(std::chrono::abs(*read->items[2].record->cold_until - until),
              milliseconds(100));
}

TEST(directory_messages, report_the_problem)
{
    const auto problem = [](directory_problem what) {
        return read_upstreams(answer_of(what)).error();
    };
    EXPECT_EQ(problem(directory_problem::unavailable),
              answer_problem::unavailable);
    EXPECT_EQ(problem(directory_problem::history_gone),
              answer_problem::history_gone);
    EXPECT_EQ(problem(directory_problem::leaving), answer_problem::leaving);
}

// Guards against invalid answers from a peer of another release or from an
// unknown sender.
TEST(directory_messages, are_refused_when_malformed)
{
    const auto problem = [](const auto& change_answer) {
        auto answer = good_answer();
        change_answer(answer);
        const auto read = read_upstreams(answer);
        EXPECT_FALSE(read);
        return read ? answer_problem::unavailable : read.error();
    };
    EXPECT_EQ(problem([](auto& m) { m.mutable_changes(0)->clear_id(); }),
              answer_problem::malformed);
    EXPECT_EQ(problem([](auto& m) {
                  m.mutable_changes(0)->mutable_record()->set_address("x:1");
              }),
              answer_problem::malformed);
    EXPECT_EQ(problem([](auto& m) {
                  m.mutable_changes(0)->mutable_record()->set_address(
                      "10.0.0.1:0");
              }),
              answer_problem::malformed);
    EXPECT_EQ(problem([](auto& m) {
                  m.mutable_changes(0)->mutable_record()->clear_service();
              }),
              answer_problem::malformed);
    EXPECT_EQ(problem([](auto& m) {
                  m.set_problem(static_cast<v1::DirectoryProblem>(99));
              }),
              answer_problem::malformed);
}

// Another writer has stored a configuration that can't be parsed. It is
// reported as unreadable, and the valid configurations are still read.
TEST(directory_messages, report_unreadable_configurations)
{
    directory_page<configuration_text_record> page;
    page.items = {configuration_text{"garbage"}, configuration_text{"7"}};
    page.next_offset = 3;
    const auto read =
        read_configurations(answer_of(page), [](std::string_view text) {
            std::optional<gateway_configuration> configuration;
            if (text != "7")
                return configuration;
            configuration.emplace();
            configuration->version = 7;
            return configuration;
        });
    ASSERT_TRUE(read);
    EXPECT_EQ(read->next_offset, 3U);
    EXPECT_EQ(read->unreadable.size(), 1U);
    ASSERT_EQ(read->items.size(), 1U);
    EXPECT_EQ(std::get<gateway_configuration>(read->items[0]).version, 7U);
}

// Guards against an evacuation that a relay drops, or counts as a configuration
// that can't be parsed.
TEST(directory_messages, tell_evacuations_beside_configurations)
{
    const evacuation_change begun{"d1", true};
    const evacuation_change ended{"d2", false};
    directory_page<configuration_text_record> page;
    page.items = {begun, configuration_text{"garbage"}, ended};
    page.next_offset = 3;
    const auto read =
        read_configurations(answer_of(page), [](std::string_view) {
            return std::optional<gateway_configuration>();
        });
    ASSERT_TRUE(read);
    ASSERT_EQ(read->items.size(), 2U);
    EXPECT_EQ(std::get<evacuation_change>(read->items[0]), begun);
    EXPECT_EQ(std::get<evacuation_change>(read->items[1]), ended);
    EXPECT_EQ(read->unreadable.size(), 1U);
}

} // namespace
} // namespace cyclamenrun
