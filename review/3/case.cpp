// A model runner crashes for good, and its address goes to a runner of another
// service. Counts the requests that the new runner ran for routes that no
// configuration sends to its service.

#include "../standins/client.hpp"
#include "../standins/configuration.hpp"
#include "../standins/engine.hpp"
#include "../standins/programs.hpp"

#include <array>
#include <iostream>

using namespace review;

namespace
{

constexpr int reuse_after_ms = 2000;
constexpr int usual_ms = 5000;
constexpr int after_ms = 9000;
constexpr int interval_ms = 30;
/** One of so many runners is replaced, a share of less than 0.15. */
constexpr int redactors = 7;
constexpr int first_machine = 11;
constexpr int first_resumen = first_machine + redactors;

} // namespace

int main(int, char** argv)
try {
    const bool trouble = std::getenv("TROUBLE") == nullptr ||
                         std::string(std::getenv("TROUBLE")) != "0";
    record log(argv[1]);
    const temporary_folder folder;
    const network net;
    store directory({net.host(1), net.port(store_port)});
    directory.put("keyed.op", "config",
                  configuration_text(
                      {stream_route("dossier", "redactor", true),
                       stream_route("summary", "resumen", true)},
                      {model_service("redactor"), model_service("resumen")}));
    std::vector<std::unique_ptr<engine>> engines;
    const auto add = [&](const std::string& id, const std::string& service,
                         const std::string& zone, int machine) {
        engine_settings settings;
        settings.id = id;
        settings.service = service;
        settings.zone = zone;
        settings.address = {net.host(machine), net.port(engine_port)};
        engines.push_back(std::make_unique<engine>(settings, directory, log));
        log.write("runner " + id + " of service " + service + " starts at " +
                  settings.address.text());
        return engines.back().get();
    };
    const std::array zones{"mendoza-a", "mendoza-b", "san-juan"};
    engine* lost = nullptr;
    for (int i = 0; i < redactors; ++i) {
        auto* const added = add("i-a" + std::to_string(i + 1), "redactor",
                                zones[i % 3], first_machine + i);
        lost = i == 0 ? added : lost;
    }
    add("i-b1", "resumen", "san-juan", first_resumen);
    std::vector<std::unique_ptr<program>> programs;
    for (int machine = first_machine; machine <= first_resumen; ++machine)
        programs.push_back(start_program(folder, "monitor", machine,
                                         monitor_settings(net, machine)));
    programs.push_back(start_program(
        folder, "gateway", 2, gateway_settings(net, 2, "mendoza-a", {2})));
    if (!wait_until_ready(net, 2, ms(10000))) {
        std::cerr << "the gateway is not ready\n";
        return 2;
    }
    const endpoint gateway{net.host(2), net.port(front_port)};
    std::vector<std::thread> clients;
    int number = 0;
    const auto send_for = [&](int milliseconds) {
        const auto end = clock_type::now() + ms(milliseconds);
        while (clock_type::now() < end) {
            const auto id = "c" + std::to_string(++number);
            const std::string route = number % 4 == 0 ? "summary" : "dossier";
            clients.emplace_back(
                [&, id, route] { send_request(gateway, log, {id, route}); });
            sleep_ms(interval_ms);
        }
    };
    send_for(usual_ms);
    const auto crashed_at = clock_type::now();
    if (trouble)
        lost->crash();
    std::thread platform([&] {
        std::this_thread::sleep_until(crashed_at + ms(reuse_after_ms + 200));
        // Registers itself in the store at once.
        add("i-b2", "resumen", "mendoza-a", 
            trouble ? first_machine : first_resumen + 1);
        std::this_thread::sleep_until(crashed_at + ms(3 * heartbeat_ms));
        if (trouble)
            drop_entry(directory, log, "i-a1");
    });
    send_for(after_ms);
    platform.join();
    for (auto& each : clients)
        each.join();
    int wrong = 0;
    std::size_t runs = 0;
    for (const auto& each : engines) {
        const std::string path =
            each->settings().service == "redactor" ? "/dossier/" : "/summary/";
        for (const auto& ran : each->runs()) {
            ++runs;
            wrong += ran.path.starts_with(path) ? 0 : 1;
        }
    }
    const auto verdict = std::to_string(runs) + " runs, " +
                         std::to_string(wrong) +
                         " by a service that no configuration names for the "
                         "route";
    log.write(verdict);
    std::cout << verdict << '\n';
    programs.clear();
    if (runs < 100)
        return 2;
    return wrong == 0 ? 0 : 1;
} catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
}
