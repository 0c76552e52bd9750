#include "gateway_settings.hpp"

#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <map>
#include <string>

namespace cyclamenrun
{
namespace
{

using values = std::map<std::string, std::string>;

/** Renders the template: sections of values that are missing are left out. */
std::string render(std::string text, const values& known)
{
    const auto find = [&known](const std::string& name) {
        const auto found = known.find(name);
        return found != known.end() ? found->second : std::string();
    };
    for (auto begin = text.find("{{#"); begin != std::string::npos;
         begin = text.find("{{#")) {
        const auto name_end = text.find("}}", begin);
        const auto name = text.substr(begin + 3, name_end - begin - 3);
        const auto last = "{{/" + name + "}}";
        const auto end = text.find(last, name_end);
        const auto content = text.substr(name_end + 2, end - name_end - 2);
        text.replace(begin, end + last.size() - begin,
                     find(name).empty() ? "" : content);
    }
    for (auto begin = text.find("{{"); begin != std::string::npos;
         begin = text.find("{{")) {
        const auto end = text.find("}}", begin);
        const auto value = find(text.substr(begin + 2, end - begin - 2));
        text.replace(begin, end + 2 - begin, value.empty() ? "1" : value);
    }
    return text;
}

gateway_settings settings_of(const values& bounds)
{
    std::ifstream file(std::string(CYCLAMENRUN_SOURCE_DIR) +
                       "/deploy/gateway.toml.in");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    values known{{"ip", "127.0.0.1"},
                 {"platform.address", "127.0.0.1:1"},
                 {"listen.front", "127.0.0.1:2"},
                 {"listen.ready", "127.0.0.1:3"},
                 {"internal_ports.0", "4"},
                 {"internal_ports.1", "5"}};
    known.insert(bounds.begin(), bounds.end());
    const auto settings = parse_gateway_settings(render(text, known), "file");
    if (!settings)
        ADD_FAILURE() << to_string(settings.error().front());
    return settings.value_or(gateway_settings());
}

// Guards against a template that gives unusable settings where a deployment has
// no bound, or one without a margin.
TEST(gateway_template, has_the_bound_of_cold_upstreams_if_there_is_one)
{
    const auto without = settings_of({});
    EXPECT_EQ(without.cold_overrun, 0);
    EXPECT_EQ(without.cold_margin, 0);
    const auto with = settings_of(
        {{"bounds.cold_overrun", "1.5"}, {"bounds.cold_margin", "5"}});
    EXPECT_EQ(with.cold_overrun, 1.5);
    EXPECT_EQ(with.cold_margin, 5);
    EXPECT_EQ(settings_of({{"bounds.cold_overrun", "2"}}).cold_overrun, 2);
}

} // namespace
} // namespace cyclamenrun
