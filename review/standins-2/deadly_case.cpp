// A request that crashes the runners that run it comes again and again, and all
// processes are killed at the same moment now and then.
#include "standins.hpp"

using namespace standins;

namespace
{

constexpr int gateways = 2;
constexpr int runners = 6;
constexpr int incarnations = 4;  ///< of all processes: three kills
constexpr int sends = 5;         ///< of the deadly request in each
constexpr ms contact_time{3000}; ///< `contact_ms` of the sheet
constexpr ms runner_down{1500};
constexpr ms between_sends{2000};
constexpr int allowed_retries = 3;

struct crash_of {
    std::string runner;
    time_point at;
};

/** The same path, caller, prompt and body each time; another attempt. */
std::string deadly_request(const std::string& id)
{
    auto text = stream_request("/dossier/deadly", id, 3000, 400, 39000);
    const auto replace = [&text](const std::string& from,
                                 const std::string& to) {
        text.replace(text.find(from), from.size(), to);
    };
    replace("Prompt-Prefix: " + id, "Prompt-Prefix: deadbeef");
    replace("{\"prompt\":\"" + id, "{\"prompt\":\"deadly00");
    return text;
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = read_options(argc, argv);
    deployment system(given, gateways, runners, 1);
    std::mutex mutex;
    std::vector<crash_of> crashes;
    std::vector<std::thread> restarts;
    for (auto& each : system.models) {
        auto* runner = each.get();
        runner->crashes = [&, runner](const request& call) {
            if (call.target != "/dossier/deadly")
                return false;
            return true;
        };
        runner->on_crash = [&, runner](const request&) {
            const std::scoped_lock lock(mutex);
            crashes.push_back({runner->id, now()});
            restarts.emplace_back([&system, runner] {
                std::this_thread::sleep_for(runner_down);
                runner->start_again();
                system.list_runners();
            });
        };
    }
    system.start(configuration_text());
    int number = 0;
    std::atomic<bool> ending = false;
    std::atomic<int> whole = 0;
    std::atomic<int> broken = 0;
    // Other callers' generations, to see what a crash costs.
    std::vector<std::thread> others;
    for (int i = 0; i < 6; ++i)
        others.emplace_back([&, i] {
            for (int n = 0; !ending; ++n) {
                char id[24];
                std::snprintf(id, sizeof id, "a%02x%04x", i, n);
                client peer(
                    system.front(static_cast<std::size_t>(n % gateways)));
                peer.send(stream_request("/dossier/1", id, 1400, 200, 39000));
                const auto got = peer.read(now() + ms(20000));
                if (got.status == 200)
                    ++(got.complete ? whole : broken);
                std::this_thread::sleep_for(ms(300));
            }
        });
    for (int k = 0; k < incarnations; ++k) {
        if (k > 0 && given.trouble) {
            record("SIGKILL to all gateways and monitors; they start again");
            system.kill_all(ms(1000));
        }
        if (!system.wait_until_ready()) {
            record("not ready");
            ending = true;
            for (auto& each : others)
                each.join();
            system.finish(2);
        }
        // Later than contact_ms after the start: the machines are in touch.
        std::this_thread::sleep_for(contact_time + ms(1500));
        for (int i = 0; i < sends; ++i) {
            char id[24];
            std::snprintf(id, sizeof id, "d%07x", number++);
            client peer(system.front(static_cast<std::size_t>(i % gateways)));
            peer.send(deadly_request(id));
            const auto got = peer.read(now() + ms(6000));
            record(std::string("client: deadly ") + id + " -> status " +
                   std::to_string(got.status) + " " + got.body + got.how);
            std::this_thread::sleep_for(between_sends);
        }
    }
    ending = true;
    for (auto& each : others)
        each.join();
    for (auto& each : restarts)
        each.join();
    int late = 0;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        const bool counts =
            i >= 3 && crashes[i].at > crashes[2].at + contact_time;
        late += counts;
        record("crash " + std::to_string(i + 1) + " of " + crashes[i].runner +
               " at " + std::to_string(since_start(crashes[i].at)) +
               (counts ? " BUDGET: a retry later than contact_ms after the "
                         "third crash"
                       : ""));
    }
    record("crashes " + std::to_string(crashes.size()) + ", late retries " +
           std::to_string(late) + ", other generations whole " +
           std::to_string(whole) + ", broken off " + std::to_string(broken));
    std::printf("deadly sent %d, crashes %zu, late retries %d (allowed %d), "
                "others whole %d, broken off %d\n",
                number, crashes.size(), late, allowed_retries, whole.load(),
                broken.load());
    system.finish(late > allowed_retries ? 1 : 0);
}
