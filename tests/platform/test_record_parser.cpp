#include "keyed_records.hpp"
#include "record_parser.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun::platform
{
namespace
{

const std::string upstream_text =
    R"({"service":"s","address":"10.1.0.9:8080","zone":"z","version":"v1",)"
    R"("slots":24,"state":"ready","cold_left_ms":0,"born":1790000000000,)"
    R"("sequence":4,"stage":"unified"})";

/** Returns upstream_text with `from` replaced by `to`. */
std::string text_with(const std::string& from, const std::string& to)
{
    auto text = upstream_text;
    return text.replace(text.find(from), from.size(), to);
}

TEST(upstream_record_parser, reads_an_upstream_record)
{
    const auto record = read_upstream("i-1", upstream_text);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->id, "i-1");
    EXPECT_EQ(record->service, "s");
    EXPECT_EQ(record->address, (ip_endpoint{"10.1.0.9", 8080}));
    EXPECT_EQ(record->failure_domain, "z");
    EXPECT_EQ(record->slots, 24U);
    EXPECT_FALSE(record->draining);
    EXPECT_EQ(record->started_ms, 1790000000000);
}

// Guards against an upstream that is unusable because its version is.
TEST(upstream_record_parser, reads_what_is_no_version_as_unknown)
{
    EXPECT_EQ(read_upstream("i", upstream_text)->version, "v1");
    const auto version_in = [](const std::string& value) {
        const auto record = read_upstream("i", text_with("\"v1\"", value));
        return record ? record->version : "unreadable record";
    };
    const auto longest = std::string(64, 'v');
    EXPECT_EQ(version_in('"' + longest + '"'), longest);
    for (const std::string absurd :
         {"\"\"", "null", "2", "[\"v1\"]", "{}", "\"a b\"", "\"v\\n\"",
          "\"v\\u0000\"", "\"\u00e9\""})
        EXPECT_EQ(version_in(absurd), "") << absurd;
    EXPECT_EQ(version_in('"' + longest + "v\""), "");
    EXPECT_EQ(read_upstream("i", text_with(R"("version":"v1",)", ""))->version,
              "");
}

TEST(upstream_record_parser, reads_how_long_an_upstream_is_cold)
{
    const time_point now{std::chrono::hours(1)};
    const auto cold_until = [&](const std::string& value) {
        const auto record =
            read_upstream("i", text_with("\"cold_left_ms\":0", value), now);
        EXPECT_TRUE(record) << value;
        return record ? record->cold_until : std::nullopt;
    };
    EXPECT_EQ(cold_until("\"cold_left_ms\":1500"), now + milliseconds(1500));
    EXPECT_EQ(cold_until("\"cold_left_ms\":1500.7"), now + milliseconds(1500));
    // One that is warm says the same in each record.
    EXPECT_EQ(cold_until("\"cold_left_ms\":0"), time_point{});
    EXPECT_EQ(cold_until("\"cold_left_ms\":-5"), time_point{});
    EXPECT_EQ(cold_until("\"cold_left_ms\":300000000000"),
              now + std::chrono::hours(1));
    // An upstream is usable whatever it says of this.
    for (const std::string absurd :
         {"null", "\"x\"", "true", "[1]", "1e300", "{}"})
        EXPECT_EQ(cold_until("\"cold_left_ms\":" + absurd), std::nullopt)
            << absurd;
    EXPECT_EQ(cold_until("\"other\":1"), std::nullopt);
}

TEST(configuration_parser, reads_the_limit_of_cold_upstreams)
{
    const auto read = read_configuration(
        R"({"version":1,"routes":[],"services":[)"
        R"({"name":"a","cold_s":12.5,"cold_per_s":31},{"name":"b"},)"
        R"({"name":"c","cold_per_s":0},{"name":"d","cold_per_s":"x"}]})");
    ASSERT_TRUE(read);
    ASSERT_EQ(read->services.size(), 4U);
    EXPECT_EQ(read->services[0].cold_time, milliseconds(12'500));
    EXPECT_EQ(read->services[0].cold_rate, 31.0);
    EXPECT_EQ(read->services[1].cold_time, milliseconds(0));
    EXPECT_FALSE(read->services[1].cold_rate);
    EXPECT_EQ(read->services[2].cold_rate, 0.0);
    EXPECT_FALSE(read->services[3].cold_rate);
}

TEST(upstream_record_parser, reads_draining_state)
{
    EXPECT_TRUE(read_upstream("i", text_with("ready", "draining"))->draining);
}

// A writer has put a record with missing fields or wrong types into the
// directory. If it were used, requests would go to an invalid address.
TEST(upstream_record_parser, rejects_invalid_records)
{
    EXPECT_FALSE(read_upstream("i", ""));
    EXPECT_FALSE(read_upstream("i", "\xff\xfe"));
    EXPECT_FALSE(read_upstream("i", "[1]"));
    EXPECT_FALSE(read_upstream("i", text_with("\"ready\"", "\"asleep\"")));
    EXPECT_FALSE(read_upstream("i", text_with("\"ready\"", "7")));
    EXPECT_FALSE(read_upstream("i", text_with("24", "\"24\"")));
    EXPECT_FALSE(read_upstream("i", text_with("24", "2.5")));
    EXPECT_FALSE(read_upstream("i", text_with("24", "0")));
    EXPECT_FALSE(read_upstream("i", text_with("24", "true")));
    EXPECT_FALSE(read_upstream("i", text_with("10.1.0.9:8080", "host:80")));
    EXPECT_FALSE(read_upstream("i", text_with("10.1.0.9:8080", "10.1.0.9")));
    EXPECT_FALSE(read_upstream("i", text_with("\"service\":\"s\",", "")));
    EXPECT_FALSE(read_upstream("i", text_with("1790000000000", "\"then\"")));
    EXPECT_FALSE(read_upstream("i", text_with("\"z\"", "null")));
}

RC_GTEST_PROP(upstream_record_parser, survives_any_bytes,
              (const std::string& bytes))
{
    (void)read_upstream("i", bytes);
    (void)read_configuration(bytes);
    (void)read_newest_page(bytes);
    const auto batch = read_record_batch(bytes);
    RC_ASSERT(!batch || batch->records.size() <= bytes.size());
}

RC_GTEST_PROP(upstream_record_parser, survives_a_corrupted_record, ())
{
    auto text = upstream_text;
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
    const auto record = read_upstream("i", text);
    RC_ASSERT(!record || record->slots > 0);
}

const std::string configuration_text = R"({"version":7,"routes":[
{"name":"r1","host":"h.example","path_prefix":"/a/","type":"streaming",
"timeout_ms":6000,"objective_ms":1500,"priority":0,"service":"s1",
"max_attempts":2,"public":false,"sticky":true,"resumable":true,
"gap_target_ms":180},
{"name":"r2","host":"h.example","path_prefix":"/b/","type":"idempotent",
"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
"max_attempts":0,"public":true},
{"name":"r3","host":"h.example","path_prefix":"/c/","type":"novel"}],
"services":[{"name":"s1","health_path":"/healthz","max_conns":232,
"engine":{"slots":24,"kv_capacity":34267,"kv_bytes":131072,
"link_mbps":19000.0,"moves":true,"backups":true}},{"name":"s2"}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";

TEST(configuration_parser, reads_a_configuration)
{
    const auto read = read_configuration(configuration_text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->version, 7U);
    ASSERT_EQ(read->routes.size(), 3U);
    const auto& first = read->routes[0];
    EXPECT_EQ(first.shape, answer_shape::event_stream);
    EXPECT_TRUE(first.resumable);
    EXPECT_FALSE(first.idempotent);
    EXPECT_EQ(first.timeout, milliseconds(6000));
    EXPECT_EQ(first.gap_target, milliseconds(180));
    ASSERT_EQ(first.services.size(), 1U);
    const auto& second = read->routes[1];
    EXPECT_TRUE(second.idempotent);
    EXPECT_TRUE(second.is_public);
    EXPECT_EQ(second.max_attempts, 1U);
    ASSERT_EQ(second.services.size(), 2U);
    EXPECT_EQ(second.services[1].weight, 10U);
    ASSERT_EQ(read->services.size(), 2U);
    ASSERT_TRUE(read->services[0].engine);
    EXPECT_EQ(read->services[0].engine->memory_tokens, 34267U);
    EXPECT_TRUE(read->services[0].engine->moves);
    EXPECT_FALSE(read->services[1].engine);
    ASSERT_EQ(read->teams.size(), 1U);
    EXPECT_EQ(read->teams[0].keys[1].reveal(), "k2");
    EXPECT_TRUE(read->has_teams);
    EXPECT_EQ(read->limits.idle_timeout, milliseconds(15000));
}

TEST(configuration_parser, unknown_route_type_is_not_idempotent)
{
    const auto read = read_configuration(configuration_text);
    EXPECT_FALSE(read->routes[2].idempotent);
    EXPECT_FALSE(read->routes[2].resumable);
}

TEST(configuration_parser, rejects_missing_version_or_routes)
{
    EXPECT_FALSE(read_configuration(R"({"routes":[]})"));
    EXPECT_FALSE(read_configuration(R"({"version":"7","routes":[]})"));
    EXPECT_FALSE(read_configuration(R"({"version":7})"));
}

std::string big_endian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text += static_cast<char>(value >> (8U * static_cast<unsigned>(i)));
    return text;
}

std::string encoded_record(const std::string& key, const std::string& value)
{
    const auto content = big_endian(key.size(), 1) + key + value;
    return big_endian(content.size(), 4) + content;
}

TEST(keyed_records, reads_a_batch)
{
    const auto batch =
        read_record_batch(big_endian(9, 8) + big_endian(3, 8) +
                          encoded_record("a", "x") + encoded_record("b", ""));
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->end_offset, 9U);
    ASSERT_EQ(batch->records.size(), 2U);
    EXPECT_EQ(batch->records[0].key, "a");
    EXPECT_EQ(batch->records[0].value, "x");
    EXPECT_FALSE(batch->records[1].value);
}

// An unreadable record must still be counted, or the reader's offset would
// differ from the store's for all later records.
TEST(keyed_records, counts_unreadable_records)
{
    const auto batch = read_record_batch(big_endian(2, 8) + big_endian(0, 8) +
                                         big_endian(0, 4) + big_endian(1, 4) +
                                         "\xff" + encoded_record("b", "y"));
    ASSERT_TRUE(batch);
    ASSERT_EQ(batch->records.size(), 3U);
    EXPECT_EQ(batch->records[0].key, "");
    EXPECT_EQ(batch->records[1].key, "");
    EXPECT_EQ(batch->records[2].key, "b");
}

TEST(keyed_records, rejects_a_truncated_batch)
{
    const auto whole =
        big_endian(9, 8) + big_endian(3, 8) + encoded_record("a", "x");
    EXPECT_FALSE(read_record_batch(whole.substr(0, whole.size() - 1)));
    EXPECT_FALSE(read_record_batch(whole.substr(0, 10)));
    EXPECT_TRUE(read_record_batch(whole.substr(0, 16)));
}

// A faulty writer or a corrupted answer gives a value that is not valid base64.
// The record must have no value, rather than the part that was decoded before
// the error.
TEST(keyed_records, drops_invalid_base64_values)
{
    for (const auto* value : {"!!!!", "eyJ=aaa", "\\u0001\\u0002"}) {
        const auto page = read_newest_page(
            std::string(R"({"items":[{"key":"i-1","value":")") +
            std::string(400, 'A') + value +
            R"("}],"truncated":false,"end_offset":6})");
        ASSERT_TRUE(page);
        ASSERT_EQ(page->records.size(), 1U);
        EXPECT_FALSE(page->records[0].value);
    }
}

TEST(keyed_records, reads_a_newest_page)
{
    const auto page = read_newest_page(
        R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":4},)"
        R"({"key":"gone"},7],"truncated":true,"end_offset":6})");
    ASSERT_TRUE(page);
    EXPECT_EQ(page->end_offset, 6U);
    EXPECT_TRUE(page->truncated);
    ASSERT_EQ(page->records.size(), 2U);
    EXPECT_EQ(page->records[0].value, "{\"a\":1}");
    EXPECT_FALSE(page->records[1].value);
}

} // namespace
} // namespace cyclamenrun::platform
