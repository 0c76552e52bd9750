// The operator changes a large configuration as often as on a busy day.
#include "standins.hpp"

using namespace standins;

namespace
{

/** The users' figure for a day. */
constexpr int changes_a_day = 1100;
/** Changes come in series, as `config_storm` plays them: 1.5 s of them. */
constexpr int changes_in_series = 25;
constexpr ms gap{60};
constexpr ms calm{550};
/** Makes a record of 234 kB; the store takes 262,144 bytes. */
constexpr int more_routes = 1200;
constexpr std::size_t monitor_memory = std::size_t(192) << 20;
constexpr std::size_t gateway_memory = std::size_t(110) << 20;

std::string large_configuration(int version)
{
    std::string more;
    for (int i = 0; i < more_routes; ++i) {
        const auto number = std::to_string(i);
        more += "{\"name\":\"r-more" + number +
                "\",\"host\":\"ficu95.example\",\"path_prefix\":\"/more" +
                number +
                "/\",\"type\":\"idempotent\",\"timeout_ms\":2500,"
                "\"objective_ms\":100,\"priority\":2,\"service\":\"registro\","
                "\"max_attempts\":2,\"public\":false},";
    }
    auto text = configuration_text();
    const std::string old = "\"version\":7";
    text.replace(text.find(old), old.size(),
                 "\"version\":" + std::to_string(version));
    const std::string routes = "\"routes\":[";
    text.insert(text.find(routes) + routes.size(), more);
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = read_options(argc, argv);
    deployment system(given, 2, 3, 3);
    system.start(configuration_text());
    if (!system.wait_until_ready()) {
        record("not ready");
        system.finish(2);
    }
    std::this_thread::sleep_for(ms(2500));
    record("a changed configuration has " +
           std::to_string(large_configuration(8).size()) + " bytes");
    int version = 7;
    std::string killed;
    const auto check = [&] {
        std::string text;
        for (const auto& [name, each] : system.programs()) {
            const auto used = each->memory();
            const auto limit =
                name.starts_with("gateway") ? gateway_memory : monitor_memory;
            text += " " + name + " " + std::to_string(used >> 20) + " MB";
            if (used <= limit)
                continue;
            // As the platform does with a process that exceeds `memory_mb`.
            each->signal(SIGKILL);
            killed += " " + name;
        }
        return text;
    };
    const int changes = given.trouble ? changes_a_day : 11;
    int served = 0;
    int sent = 0;
    while (version < 7 + changes && killed.empty()) {
        for (int i = 0; i < changes_in_series && version < 7 + changes; ++i) {
            system.directory.put("keyed.op", "config",
                                 large_configuration(++version));
            std::this_thread::sleep_for(gap);
        }
        std::this_thread::sleep_for(calm);
        client peer(system.front(0));
        char id[24];
        std::snprintf(id, sizeof id, "c%07x", version);
        peer.send(plain_request("GET", "/clearance/1", id));
        ++sent;
        served += peer.read(now() + ms(3000)).status == 200;
        record("after " + std::to_string(version - 7) + " changes:" + check());
    }
    record(killed.empty() ? "no process exceeded its memory"
                          : "killed for exceeding memory_mb:" + killed);
    std::printf("%d changes, %d of %d requests served, killed:%s\n",
                version - 7, served, sent,
                killed.empty() ? " none" : killed.c_str());
    if (served * 2 < sent)
        system.finish(2);
    system.finish(killed.empty() ? 0 : 1);
}
