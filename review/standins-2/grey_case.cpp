// A runner that resets part of its channels, and works on at what it had begun.
#include "standins.hpp"

using namespace standins;

namespace
{

constexpr int runners = 7;
constexpr double failed_part = 0.45; ///< of the requests at one of the runners
constexpr ms spell{6500};            ///< in which one runner fails
constexpr ms calm{1500};             ///< between two spells
constexpr ms duration{88000};        ///< in which clients send
constexpr int callers = 12;
constexpr ms still_at_work{400};

} // namespace

int main(int argc, char** argv)
{
    const auto given = read_options(argc, argv);
    deployment system(given, 1, runners);
    std::mutex mutex;
    std::mt19937 draws(20261207);
    std::uniform_real_distribution<double> part(0, 1);
    std::atomic<int> grey = -1; ///< the runner that fails; -1: none
    const auto fails = [&](int runner) {
        const std::scoped_lock lock(mutex);
        return grey == runner && part(draws) < failed_part;
    };
    for (int i = 0; i < runners; ++i) {
        auto& each = *system.models[static_cast<std::size_t>(i)];
        each.reset_stream_after = [&, i](const request&) {
            return fails(i) ? std::optional<int>(3) : std::nullopt;
        };
        each.reset_call = [&, i](const request& call) {
            return (call.target == "/kv-move" || call.target == "/report") &&
                   fails(i);
        };
    }
    system.start(configuration_text());
    if (!system.wait_until_ready()) {
        record("not ready");
        system.finish(2);
    }
    std::this_thread::sleep_for(ms(3000));
    if (!given.trouble)
        record("no trouble: TROUBLE=0");
    std::atomic<int> next = 0;
    const auto send_until = now() + duration;
    std::atomic<int> whole = 0;
    std::vector<std::thread> clients;
    for (int i = 0; i < callers; ++i)
        clients.emplace_back([&] {
            for (;;) {
                if (now() >= send_until)
                    return;
                const int number = next++;
                char id[24];
                std::snprintf(id, sizeof id, "c%07x", number);
                client peer(system.front(0));
                const auto sent = now();
                peer.send(stream_request("/tag/1", id, 1460, 120, 6000));
                const auto got = peer.read(now() + ms(7000));
                whole += got.complete && got.status == 200;
                record(
                    std::string("client: ") + id + " sent at " +
                    std::to_string(since_start(sent)) + " -> status " +
                    std::to_string(got.status) +
                    (got.complete ? " complete" : " broken off: " + got.how));
            }
        });
    for (int i = 0; given.trouble && now() + spell < send_until; ++i) {
        const int runner = i % runners;
        record(system.models[static_cast<std::size_t>(runner)]->id +
               " resets a part of its channels for 6.5 s");
        grey = runner;
        std::this_thread::sleep_for(spell);
        grey = -1;
        std::this_thread::sleep_for(calm);
    }
    for (auto& each : clients)
        each.join();
    std::this_thread::sleep_for(ms(2000));
    const int streams = next;

    std::map<std::string, std::vector<std::pair<std::string, run>>> by_id;
    for (auto& model : system.models)
        for (const auto& each : model->runs())
            by_id[each.id].emplace_back(model->id, each);
    int twice = 0;
    int went_on = 0;
    for (auto& [id, runs] : by_id) {
        std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
            return a.second.began < b.second.began;
        });
        for (std::size_t i = 1; i < runs.size(); ++i) {
            const auto& before = runs[i - 1];
            const auto& after = runs[i];
            if (after.second.first_event <= 1 || before.first == after.first)
                continue;
            ++went_on;
            const auto limit = after.second.began + still_at_work;
            if (before.second.ended && *before.second.ended <= limit)
                continue;
            ++twice;
            record("TWICE: " + id + " goes on at " + after.first +
                   " from event " + std::to_string(after.second.first_event) +
                   " at " + std::to_string(since_start(after.second.began)) +
                   ", and " + before.first + " works on it until " +
                   (before.second.ended
                        ? std::to_string(since_start(*before.second.ended))
                        : std::string("the end")));
        }
    }
    record("streams " + std::to_string(streams) + ", whole " +
           std::to_string(whole) + ", went on elsewhere " +
           std::to_string(went_on) + ", TWICE " + std::to_string(twice));
    std::printf("streams %d, whole %d, went on elsewhere %d, TWICE %d\n",
                streams, whole.load(), went_on, twice);
    if (whole < streams / 2)
        system.finish(2);
    system.finish(twice > 0 ? 1 : 0);
}
