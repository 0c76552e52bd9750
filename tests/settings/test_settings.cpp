#include "agent_settings.hpp"
#include "entry_settings.hpp"

#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace cyclamenrun
{
namespace
{

const std::string key_hash_text =
    std::string(32, 'a') + ':' + std::string(64, 'b');

const std::string valid_entry =
    "name = 'entry-1'\n"
    "region = 'cuyo'\n"
    "failure_domain = 'mendoza-a'\n"
    "link_key = '0123456789abcdef0123456789abcdef'\n"
    "operator_keys = ['" +
    key_hash_text +
    "']\n"
    "[platform]\n"
    "address = '127.0.0.1:7000'\n";

const std::string valid_agent =
    "name = 'vm-7'\n"
    "region = 'cuyo'\n"
    "failure_domain = 'san-juan'\n"
    "link_key = '0123456789abcdef0123456789abcdef'\n"
    "service = 'redactor'\n"
    "platform.address = '127.0.0.1:7000'\n"
    "upstream.address = '[::1]:8000'\n";

std::vector<std::string> messages_of(std::string_view text)
{
    std::vector<std::string> messages;
    const auto settings = parse_entry_settings(text, "entry.toml");
    if (settings)
        return messages;
    for (const auto& error : settings.error())
        messages.push_back(to_string(error));
    return messages;
}

TEST(settings, missing_settings_get_their_defaults)
{
    const auto entry = parse_entry_settings(
        valid_entry + "[limits]\nidle_timeout_ms = 250\n", "entry.toml");
    ASSERT_TRUE(entry);
    EXPECT_EQ(entry->platform.address, (ip_endpoint{"127.0.0.1", 7000}));
    EXPECT_EQ(entry->limits.idle_timeout, milliseconds(250));
    EXPECT_EQ(entry->limits.body_bytes, entry_limits().body_bytes);
    EXPECT_EQ(entry->link_key.size(), 32U);
    const auto agent = parse_agent_settings(valid_agent, "agent.toml");
    ASSERT_TRUE(agent);
    EXPECT_EQ(agent->upstream.address, (ip_endpoint{"::1", 8000}));
}

TEST(settings, all_errors_are_reported_with_line_key_and_allowed_values)
{
    EXPECT_THAT(
        messages_of("name = 7\nretries = 3\nlisten = 'localhost:80'\n"
                    "[limits]\nbody_bytes = 12\nconections = 4\n"),
        testing::AllOf(
            testing::Contains("entry.toml:1: name: wrong type: text of 1 to "
                              "63 bytes"),
            testing::Contains(
                testing::StartsWith("entry.toml:2: retries: unknown key: ")),
            testing::Contains(
                testing::StartsWith("entry.toml:3: listen: not allowed: ")),
            testing::Contains("entry.toml:5: limits.body_bytes: not allowed: "
                              "integer from 1024 to 67108864 bytes"),
            testing::Contains(
                testing::StartsWith("entry.toml:6: limits.conections: "
                                    "unknown key: known are limits.")),
            testing::Contains(testing::StartsWith(
                "entry.toml: operator_keys: must be given: "))));
}

TEST(settings, a_short_duplicate_or_missing_link_key_is_refused)
{
    const auto with_key = [](const std::string& line) {
        auto text = valid_entry;
        const auto at = text.find("link_key");
        return text.replace(at, text.find('\n', at) - at, line);
    };
    EXPECT_THAT(messages_of(with_key("link_key = 'short'")),
                testing::ElementsAre("entry.toml:4: link_key: not allowed: "
                                     "key of 32 to 1024 bytes"));
    EXPECT_THAT(messages_of(with_key("")),
                testing::ElementsAre(testing::HasSubstr("link_key_file")));
    EXPECT_THAT(messages_of("link_key_file = 'k'\n" + valid_entry),
                testing::ElementsAre(testing::HasSubstr("not both")));
    EXPECT_THAT(messages_of(with_key("link_key_file = '/nowhere/key'")),
                testing::ElementsAre(testing::HasSubstr("cannot be read")));
}

TEST(settings, a_relative_link_key_file_is_read_from_the_settings_folder)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        ("cyclamenrun-settings-" + std::to_string(getpid()));
    std::filesystem::create_directory(folder);
    auto text = valid_agent;
    // 45 bytes: the setting `link_key` without the end of its line.
    text.replace(text.find("link_key"), 45, "link_key_file = 'key'\n");
    std::ofstream(folder / "key") << std::string(40, 'k') << '\n';
    std::ofstream(folder / "agent.toml") << text;
    const auto agent = read_agent_settings((folder / "agent.toml").string());
    std::filesystem::remove_all(folder);
    ASSERT_TRUE(agent) << to_string(agent.error().front());
    EXPECT_EQ(agent->link_key.reveal(), std::string(40, 'k'));
}

/**
 * Guards against a prompt limit above the body limit and a default deadline
 * above the longest one. The body limit would always apply first, so callers
 * would see a limit other than the one set. A request without a deadline would
 * get more time than a caller can set.
 */
TEST(settings, contradictory_settings_are_refused)
{
    EXPECT_THAT(messages_of(valid_entry + "[limits]\nbody_bytes = 4096\n"
                                          "[deadlines]\nlongest_ms = 1000\n"),
                testing::ElementsAre(
                    testing::HasSubstr("limits.prompt_bytes: contradictory"),
                    testing::HasSubstr("deadlines.default_ms: contradictory")));
}

TEST(settings, printed_defaults_lack_only_the_required_keys)
{
    auto text = default_entry_settings();
    const auto errors = messages_of(text);
    EXPECT_THAT(errors, testing::Each(testing::HasSubstr("must be given")));
    EXPECT_EQ(errors.size(), 5U);
}

/** Damages a valid file at random places; parsing must never throw. */
RC_GTEST_PROP(settings, damaged_files_give_settings_or_typed_errors, ())
{
    auto text = valid_entry;
    const auto count = *rc::gen::inRange(1, 12);
    for (int change = 0; change < count; ++change) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto piece = *rc::gen::oneOf(
            rc::gen::arbitrary<std::string>(),
            rc::gen::element<std::string>("[", "]", "\"", "'''", "=", "\n[a.b]",
                                          "{", "1e999", "nan", "inf", ".",
                                          "-9223372036854775808", "\xff"));
        text.replace(at, *rc::gen::inRange<std::size_t>(0, 4), piece);
    }
    const auto settings = parse_entry_settings(text, "entry.toml");
    RC_ASSERT(settings.has_value() || !settings.error().empty());
}

} // namespace
} // namespace cyclamenrun
