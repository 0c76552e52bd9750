// A model runner loses the answers of a few streams by a reset and runs them to
// their end. Counts the streams that go on at another runner while the first
// one still works on them 400 ms later.

#include "../standins/client.hpp"
#include "../standins/configuration.hpp"
#include "../standins/engine.hpp"
#include "../standins/programs.hpp"

#include <array>
#include <iostream>

using namespace review;

namespace
{

constexpr int runners = 3;
constexpr int first_machine = 11;
constexpr int events = 60;
constexpr int event_ms = 40;
constexpr int interval_ms = 60;
constexpr int window_ms = 4000;
constexpr int pause_ms = 3000;
constexpr int windows = 6;
/** One of so many answers of the runner is lost. */
constexpr int answers_per_loss = 20;
constexpr ms still_at_work{400};

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
                      {stream_route("dossier", "redactor", false)},
                      {model_service("redactor")}));
    copies backups;
    std::atomic<bool> loses = false;
    std::atomic<int> answers = 0;
    std::vector<std::unique_ptr<engine>> engines;
    const std::array zones{"mendoza-a", "mendoza-b", "san-juan"};
    for (int i = 0; i < runners; ++i) {
        engine_settings settings;
        settings.id = "i-a" + std::to_string(i + 1);
        settings.service = "redactor";
        settings.zone = zones.at(i % zones.size());
        settings.address = {net.host(first_machine + i),
                            net.port(engine_port)};
        settings.events = events;
        settings.event_ms = event_ms;
        settings.backups = &backups;
        if (i == 0 && trouble)
            settings.loses_answer = [&] {
                return loses && ++answers % answers_per_loss == 0;
            };
        engines.push_back(
            std::make_unique<engine>(settings, directory, log));
    }
    std::vector<std::unique_ptr<program>> programs;
    for (int i = 0; i < runners; ++i)
        programs.push_back(start_program(
            folder, "monitor", first_machine + i,
            monitor_settings(net, first_machine + i)));
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
            clients.emplace_back([&, id] {
                send_request(gateway, log, {id, "dossier", "460,240", 39000});
            });
            sleep_ms(interval_ms);
        }
    };
    send_for(pause_ms);
    for (int i = 0; i < windows; ++i) {
        loses = true;
        send_for(window_ms);
        loses = false;
        send_for(pause_ms);
    }
    for (auto& each : clients)
        each.join();
    for (int i = 0; i < events * event_ms; i += event_ms)
        sleep_ms(event_ms); // for the runs whose answer was lost
    std::multimap<std::string, run> runs;
    for (const auto& each : engines)
        for (const auto& ran : each->runs())
            runs.emplace(ran.id, ran);
    int twice = 0;
    for (const auto& [id, later] : runs) {
        const auto same = runs.equal_range(id);
        for (auto before = same.first; before != same.second; ++before) {
            const auto& first = before->second;
            if (!later.goes_on || first.runner == later.runner ||
                first.began >= later.began ||
                first.ended <= later.began + still_at_work)
                continue;
            ++twice;
            log.write(id + " goes on at " + later.runner + " while " +
                      first.runner + " works on it for " +
                      std::to_string(std::chrono::duration_cast<ms>(
                                         first.ended - later.began)
                                         .count()) +
                      " ms more");
        }
    }
    const auto verdict = std::to_string(runs.size()) + " runs, " +
                         std::to_string(twice) +
                         " streams that went on elsewhere while the runner "
                         "before still worked on them";
    log.write(verdict);
    std::cout << verdict << '\n';
    programs.clear();
    if (runs.size() < 100)
        return 2;
    return twice == 0 ? 0 : 1;
} catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
}
