#include "agent_settings.hpp"
#include "entry_settings.hpp"
#include "exit_code.hpp"
#include "exported_metric.hpp"
#include "gateway_refusal.hpp"
#include "gateway_settings.hpp"
#include "http_json.hpp"
#include "log_event_name.hpp"
#include "log_field.hpp"
#include "metric.hpp"
#include "monitor_settings.hpp"
#include "refusal.hpp"
#include "resource_file.hpp"
#include "settings_writer.hpp"

#include <filesystem>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <iterator>
#include <set>
#include <sstream>

namespace cyclamenrun
{
namespace
{

using testing::HasSubstr;

std::string read_all(const std::filesystem::path& path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/** Returns the text of a file in docs/. */
std::string page(const std::string& name)
{
    return read_all(std::filesystem::path(CYCLAMENRUN_SOURCE_DIR) / "docs" /
                    name);
}

/** Returns all sources of the library except those with this stem. */
std::string sources_except(const std::string& name)
{
    std::string text;
    const auto folder =
        std::filesystem::path(CYCLAMENRUN_SOURCE_DIR) / "src/libcyclamenrun";
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(folder)) {
        if (entry.path().extension() == ".cpp" && entry.path().stem() != name)
            text += read_all(entry.path());
    }
    return text;
}

template <typename Settings>
std::string reference_of(settings_table (*rows)(Settings&))
{
    Settings settings;
    return write_settings_reference(rows(settings));
}

/** Returns a row of a Markdown table. */
std::string row(std::initializer_list<std::string_view> cells)
{
    std::string text = "|";
    for (const auto cell : cells)
        text += ' ' + std::string(cell) + " |";
    return text + '\n';
}

std::string code(std::string_view name)
{
    return '`' + std::string(name) + '`';
}

TEST(docs, settings_page_matches_the_settings_tables)
{
    const auto text = page("settings.md");
    EXPECT_THAT(text, HasSubstr(reference_of(entry_rows)));
    EXPECT_THAT(text, HasSubstr(reference_of(agent_rows)));
    EXPECT_THAT(text, HasSubstr(reference_of(gateway_rows)));
    EXPECT_THAT(text, HasSubstr(reference_of(monitor_rows)));
    EXPECT_THAT(text, HasSubstr(reference_of(service_rows)));
    EXPECT_THAT(text, HasSubstr(reference_of(team_rows)));
    EXPECT_THAT(text, HasSubstr(reference_of(assignment_rows)));
}

TEST(docs, exit_codes_and_refusal_reasons_match_the_tables)
{
    for (const auto& each : exit_code_table())
        EXPECT_THAT(page("operators-api.md"),
                    HasSubstr(row({std::to_string(to_status(each.code)),
                                   code(each.name), each.doc})));
    for (std::uint32_t number = 1; refusal_reason_of(number); ++number) {
        const auto reason = *refusal_reason_of(number);
        EXPECT_THAT(page("callers-api.md"),
                    HasSubstr("| " + code(name_of(reason)) + " | " +
                              std::to_string(http_status(reason)) + " | "));
    }
}

TEST(docs, log_events_and_metrics_are_documented_and_used)
{
    const auto text = page("OPERATIONS.md");
    const auto event_users = sources_except("log_event_name");
    for (const auto& each : log_event_table()) {
        EXPECT_THAT(text, HasSubstr(row({code(each.name), each.doc})));
        EXPECT_NE(event_users.find("log_event_name::" + std::string(each.name)),
                  std::string::npos)
            << each.name << " is never logged";
    }
    const auto metric_users = sources_except("metric");
    for (const auto& each : metric_table()) {
        EXPECT_THAT(text,
                    HasSubstr(row({code(each.name), each.unit, each.doc})));
        EXPECT_NE(metric_users.find("metric::" + std::string(each.name)),
                  std::string::npos)
            << each.name << " is never recorded";
    }
}

TEST(docs, exported_metrics_are_documented)
{
    const auto text = page("OPERATIONS.md");
    for (const auto& each : exported_metric_table()) {
        const auto labels = each.labels.empty() ? "-" : code(each.labels);
        EXPECT_THAT(text, HasSubstr(row({code(each.name), name_of(each.kind),
                                         labels, each.doc})));
    }
}

TEST(docs, gateway_refusals_are_documented)
{
    const auto text = page("OPERATIONS.md");
    // upstream_lost is the last refusal.
    for (auto number = 0U;
         number <= static_cast<unsigned>(gateway_refusal::upstream_lost);
         ++number) {
        const auto& each = row_of(static_cast<gateway_refusal>(number));
        EXPECT_THAT(text,
                    HasSubstr(row({code(each.name), std::to_string(each.status),
                                   each.not_run ? "yes" : "no", each.doc})));
    }
}

// Guards against example lines on the page with events or fields that were
// renamed: an engineer who searches the logs for them would find nothing.
TEST(docs, example_lines_have_known_events_and_fields)
{
    std::set<std::string> known{"time", "severity", "process", "event"};
    // name_of() returns "other" for a number that is not a key.
    for (auto number = 0U; name_of(static_cast<log_key>(number)) != "other";
         ++number)
        known.insert(std::string(name_of(static_cast<log_key>(number))));
    std::set<std::string> events;
    for (const auto& each : log_event_table())
        events.insert(std::string(each.name));
    std::istringstream text(page("OPERATIONS.md"));
    int examples = 0;
    for (std::string line; std::getline(text, line);) {
        if (!line.starts_with("    {\"time\""))
            continue;
        const auto example = parse_json_object(line);
        ASSERT_TRUE(example) << line;
        ++examples;
        EXPECT_TRUE(
            events.contains(json_string(*example, "event").value_or("")))
            << line;
        for (const auto& name : example->getNames())
            EXPECT_TRUE(known.contains(name)) << name << " in " << line;
    }
    EXPECT_GE(examples, 3);
}

// Guards against a page that names tests which were renamed or removed.
TEST(docs, tests_named_on_the_faults_page_exist)
{
    const auto tests = std::filesystem::path(CYCLAMENRUN_SOURCE_DIR) / "tests";
    std::string sources;
    for (const auto& entry :
         std::filesystem::recursive_directory_iterator(tests)) {
        if (entry.path().extension() == ".cpp")
            sources += read_all(entry.path());
    }
    std::istringstream text(page("FAULTS.md"));
    int named = 0;
    bool in_section = false;
    for (std::string line; std::getline(text, line);) {
        if (line.starts_with("## "))
            in_section = line == "## The gateway on the users' platform";
        const auto from = line.rfind(" | `");
        if (!in_section || !line.starts_with("| ") || from == std::string::npos)
            continue;
        const auto name = line.substr(from + 4, line.rfind('`') - from - 4);
        const auto dot = name.find('.');
        ASSERT_NE(dot, std::string::npos) << line;
        const auto macro_arguments =
            name.substr(0, dot) + ", " + name.substr(dot + 1);
        const bool exists =
            sources.find("TEST(" + macro_arguments + ")") !=
                std::string::npos ||
            sources.find("TEST_F(" + macro_arguments + ")") !=
                std::string::npos ||
            sources.find("TEST_P(" + macro_arguments + ")") !=
                std::string::npos ||
            sources.find("RC_GTEST_PROP(" + macro_arguments + ",") !=
                std::string::npos ||
            sources.find("TEST_F(" + name.substr(0, dot) + ",\n       " +
                         name.substr(dot + 1) + ")") != std::string::npos;
        EXPECT_TRUE(exists) << name;
        ++named;
    }
    EXPECT_GE(named, 30);
}

} // namespace
} // namespace cyclamenrun
