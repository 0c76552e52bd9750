// A part that many prompts share has run well, and then crashes the runners
// that run a prompt with it.
#include "standins.hpp"

using namespace standins;

namespace
{

constexpr int gateways = 2;
constexpr int runners = 8;
constexpr ms calm{15000};  ///< in which the part runs well
constexpr ms total{85000}; ///< in which clients send
constexpr ms gap{100};     ///< between two requests
constexpr int things = 33; ///< parts of the second kind; one is the deadly one
constexpr int subjects = 20; ///< parts of the first kind
constexpr ms runner_down{3300};
constexpr ms contact_time{3000};         ///< `contact_ms` of the sheet
constexpr std::size_t counted_after = 5; ///< crashes, as the users counted them
constexpr int allowed_sends = 3;
const std::string deadly_part = "0badbad0";

struct crash_of {
    std::string runner;
    std::string request;
    time_point at;
};

} // namespace

int main(int argc, char** argv)
{
    const auto given = read_options(argc, argv);
    deployment system(given, gateways, runners, 1);
    std::mutex mutex;
    std::vector<crash_of> crashes;
    std::deque<std::thread> restarts;
    std::atomic<bool> deadly = false;
    for (auto& each : system.models) {
        auto* runner = each.get();
        runner->crashes = [&, runner](const request& call) {
            if (!deadly ||
                call.field("Prompt-Prefix").find(deadly_part + ":") ==
                    std::string::npos)
                return false;
            const std::scoped_lock lock(mutex);
            crashes.push_back({runner->id, call.field("Attempt-Id"), now()});
            restarts.emplace_back([&system, runner] {
                std::this_thread::sleep_for(runner_down);
                runner->start_again();
                system.list_runners();
            });
            return true;
        };
    }
    system.start(configuration_text());
    if (!system.wait_until_ready()) {
        record("not ready");
        system.finish(2);
    }
    std::this_thread::sleep_for(ms(2500));

    const char* seed = std::getenv("SEED");
    std::mt19937 random(seed ? std::atoi(seed) : std::random_device{}());
    std::deque<std::thread> clients;
    std::atomic<int> whole = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> broken = 0;
    const auto started = now();
    int number = 0;
    for (auto at = started; at < started + total; at += gap) {
        std::this_thread::sleep_until(at);
        if (given.trouble && !deadly && at > started + calm) {
            deadly = true;
            record("the part " + deadly_part + " is deadly from now on");
        }
        const bool is_tag = random() % 3 != 0;
        const auto thing = random() % things;
        const auto subject = random() % subjects;
        const auto gateway = random() % gateways;
        char id[24];
        std::snprintf(id, sizeof id, "a%07x", number++);
        char parts[96];
        char other[16];
        std::snprintf(other, sizeof other, "7c%06x", unsigned(thing));
        std::snprintf(parts, sizeof parts,
                      "5a%06x:47,%s:31,%s:", unsigned(subject),
                      thing == 0 ? deadly_part.c_str() : other, id);
        auto text = stream_request(is_tag ? "/tag/1" : "/dossier/1", id, 1400,
                                   is_tag ? 12 : 200, is_tag ? 6000 : 39000);
        const auto own = "Prompt-Prefix: " + std::string(id) + ":";
        text.replace(text.find(own), own.size(),
                     "Prompt-Prefix: " + std::string(parts));
        clients.emplace_back(
            [&, text, gateway, id = std::string(id), has_part = thing == 0] {
                client peer(system.front(gateway));
                peer.send(text);
                const auto got = peer.read(now() + ms(20000));
                const bool is_whole = got.complete && got.status == 200;
                ++(is_whole ? whole : got.status == 503 ? refused : broken);
                record("client: " + id + (has_part ? " with the part" : "") +
                       " -> status " + std::to_string(got.status) +
                       (got.complete ? " complete " : " " + got.how + " ") +
                       (is_whole ? "" : got.body));
            });
    }
    for (auto& each : clients)
        each.join();
    for (auto& each : restarts)
        each.join();
    int late = 0;
    for (std::size_t i = 0; i < crashes.size(); ++i) {
        const bool counts =
            i >= counted_after &&
            crashes[i].at > crashes[counted_after - 1].at + contact_time;
        late += counts;
        record(
            "crash " + std::to_string(i + 1) + " of " + crashes[i].runner +
            " under " + crashes[i].request + " at " +
            std::to_string(since_start(crashes[i].at)) +
            (counts ? " BUDGET: later than contact_ms after the fifth" : ""));
    }
    record("whole " + std::to_string(whole) + ", refused " +
           std::to_string(refused) + ", broken off " + std::to_string(broken));
    std::printf("sent %d, whole %d, refused %d, broken off %d, crashes %zu, "
                "late sends %d (allowed %d)\n",
                number, whole.load(), refused.load(), broken.load(),
                crashes.size(), late, allowed_sends);
    if (whole < number / 4)
        system.finish(2);
    system.finish(late > allowed_sends ? 1 : 0);
}
