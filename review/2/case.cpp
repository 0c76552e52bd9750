// The store turns one gateway, and the monitors that read for gateways, away
// for nine seconds while the configuration changes and a key is revoked. Counts the requests with that key that run
// though they were sent later than `revoke_ms` after the revocation was
// acknowledged.

#include "../standins/client.hpp"
#include "../standins/configuration.hpp"
#include "../standins/engine.hpp"
#include "../standins/plain_runner.hpp"
#include "../standins/programs.hpp"

#include <array>
#include <iostream>
#include <set>

using namespace review;

namespace
{

constexpr int revoke_ms = 5000;
constexpr int usual_ms = 3000;
constexpr int away_ms = 9000;
constexpr int after_ms = 5000;
constexpr int storm_gap_ms = 330;
constexpr int storm_changes = 12;
/** The change of the storm before which the key is revoked. */
constexpr int changes_before_revocation = 10;
constexpr int more_routes = 350 + 280;
constexpr int interval_ms = 10;
constexpr std::array gateways{2, 3, 4};
constexpr int away_gateway = 2;
constexpr int away_store = 9;
constexpr int monitors = 8;
constexpr int first_monitor = 11;
constexpr int first_monitor_store = 31;
/** Share of the machines that the store may turn away. */
constexpr double most_away = 0.33;

const std::string kept_key = "xd9dnn2ctnfzs989anu6";
const std::string revoked_key = "wsjnbanfqasnmgkcuyj8";

std::string configuration(int version, bool revoked)
{
    std::vector<std::string> routes{
        plain_route("clearance", "registro", 600 + version % 7)};
    for (int i = 0; i < more_routes; ++i)
        routes.push_back(
            plain_route("more" + std::to_string(i), "registro", 600));
    const auto first = "\"" + kept_key + "\"";
    routes.push_back(stream_route("dossier", "redactor", false));
    return configuration_text(
        routes, {plain_service("registro"), model_service("redactor")}, version,
        tenant("huka270", first) + "," +
            tenant("boma113",
                   revoked ? "\"otherkeyotherkey0000\""
                           : "\"" + revoked_key + "\""));
}

} // namespace

int main(int, char** argv)
try {
    const bool trouble = std::getenv("TROUBLE") == nullptr ||
                         std::string(std::getenv("TROUBLE")) != "0";
    record log(argv[1]);
    const temporary_folder folder;
    const network net;
    store directory({net.host(1), net.port(store_port)});
    // The store knows the machines that it turns away by these addresses.
    const int away =
        directory.open({net.host(away_store), net.port(store_port)});
    for (int i = 0; i < monitors; ++i)
        directory.open(
            {net.host(first_monitor_store + i), net.port(store_port)});
    std::mutex mutex;
    std::set<std::string> ran;
    const auto on_run = [&](const message& request) {
        const std::scoped_lock lock(mutex);
        ran.insert(request.field("Attempt-Id"));
    };
    int version = 7;
    bool revoked = false;
    const auto change = [&] {
        version += 3;
        const auto text = configuration(version, revoked);
        directory.put("keyed.op", "config", text);
        log.write("the store acknowledges version " + std::to_string(version) +
                  ", " + std::to_string(text.size()) + " bytes");
    };
    change();
    std::vector<std::unique_ptr<plain_runner>> runners;
    const std::array zones{"mendoza-a", "mendoza-b", "san-juan"};
    for (int i = 0; i < 3; ++i)
        runners.push_back(std::make_unique<plain_runner>(
            "i-r" + std::to_string(i + 1), "registro", zones.at(i),
            endpoint{net.host(21 + i), net.port(engine_port)}, directory,
            on_run));
    std::vector<std::unique_ptr<engine>> engines;
    std::vector<std::unique_ptr<program>> programs;
    for (int i = 0; i < monitors; ++i) {
        engine_settings settings;
        settings.id = "i-a" + std::to_string(i + 1);
        settings.service = "redactor";
        settings.zone = zones.at(i % zones.size());
        settings.address = {net.host(first_monitor + i), net.port(engine_port)};
        engines.push_back(std::make_unique<engine>(settings, directory, log));
        programs.push_back(start_program(
            folder, "monitor", first_monitor + i,
            monitor_settings(net, first_monitor + i, first_monitor_store + i)));
    }
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        const int number = gateways.at(i);
        programs.push_back(start_program(
            folder, "gateway", number,
            gateway_settings(net, number, zones.at(i), {2, 3, 4},
                             number == away_gateway ? away_store : 1)));
    }
    for (const int number : gateways) {
        if (!wait_until_ready(net, number, ms(10000))) {
            std::cerr << "a gateway is not ready\n";
            return 2;
        }
    }
    const endpoint gateway{net.host(away_gateway), net.port(front_port)};
    std::map<std::string, time_point> sent; ///< with the key that is revoked
    std::atomic<bool> ending = false;
    std::vector<std::thread> requests;
    std::thread clients([&] {
        for (int number = 1; !ending; ++number) {
            const bool other = number % 2 == 0;
            client_request request;
            request.id = (other ? "kept" : "revoked") + std::to_string(number);
            request.route = "clearance";
            request.time_budget_ms = 600;
            request.key = other ? kept_key : revoked_key;
            if (!other) {
                const std::scoped_lock lock(mutex);
                sent[request.id] = clock_type::now();
            }
            requests.emplace_back(
                [&, request] { send_request(gateway, log, request); });
            sleep_ms(interval_ms);
        }
    });
    sleep_ms(usual_ms);
    const auto away_at = clock_type::now();
    auto turned_away = directory.called_within(ms(2000));
    turned_away.erase(0); // the other gateways
    turned_away.insert(away);
    const auto share = static_cast<double>(turned_away.size()) /
                       (gateways.size() + monitors);
    log.write("machines that the store turns away: " +
              std::to_string(turned_away.size()) + ", share " +
              std::to_string(share));
    if (share > most_away) {
        std::cerr << "too many monitors read\n";
        return 2;
    }
    if (trouble)
        directory.turn_away(turned_away);
    std::atomic<bool> over = !trouble;
    // Monitors that begin to read for the gateway are turned away as well, up
    // to the share.
    std::thread platform([&] {
        while (!over) {
            sleep_ms(10);
            for (const int number : directory.called_within(ms(1000))) {
                const auto machines = gateways.size() + monitors;
                if (number == 0 || turned_away.contains(number) ||
                    static_cast<double>(turned_away.size() + 1) / machines >
                        most_away)
                    continue;
                turned_away.insert(number);
                log.write("the store turns one more machine away");
                directory.turn_away(turned_away);
            }
        }
    });
    auto revoked_at = time_point::max();
    for (int i = 1; i <= storm_changes; ++i) {
        sleep_ms(storm_gap_ms);
        if (i == changes_before_revocation) {
            revoked = true;
            change();
            revoked_at = clock_type::now();
            log.write("that version takes the key away");
        }
        change();
    }
    std::this_thread::sleep_until(away_at + ms(away_ms));
    over = true;
    platform.join();
    directory.turn_away({});
    log.write("the store serves all");
    sleep_ms(after_ms);
    ending = true;
    clients.join();
    for (auto& each : requests)
        each.join();
    int late = 0;
    for (const auto& [id, at] : sent) {
        if (!ran.contains(id) || at <= revoked_at + ms(revoke_ms))
            continue;
        ++late;
        log.write(id + " has run, sent " +
                  std::to_string(std::chrono::duration_cast<ms>(at - revoked_at)
                                     .count()) +
                  " ms after the revocation was acknowledged");
    }
    const auto verdict = std::to_string(ran.size()) + " requests have run, " +
                         std::to_string(late) +
                         " with a key that was revoked over " +
                         std::to_string(revoke_ms) + " ms before";
    log.write(verdict);
    std::cout << verdict << '\n';
    programs.clear();
    if (ran.size() < 100)
        return 2;
    return late == 0 ? 0 : 1;
} catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
}
