// All processes are killed, as in a day that ends with a final fault. Once they
// are back, entries of another writer stand in the directory for two seconds,
// with a service that the configuration doesn't name.
#include "standins.hpp"

#include <array>

using namespace standins;

namespace
{

constexpr int gateways = 2;
constexpr ms recover_time{12000}; ///< `recover_s` of the sheet
constexpr ms phase{10000};
/** From when the machines are back until the entries come, and how long. */
constexpr ms entries_after{2000};
constexpr ms entries_time{2000};

/** Requests a second of the sheet's four kinds, at half of its traffic. */
constexpr double dossiers_per_s = 2.1;
constexpr double tags_per_s = 3.0;
constexpr double lookups_per_s = 13.8;
constexpr double clearances_per_s = 5.5;

struct counts {
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> plain_sent = 0;
    std::atomic<int> plain_served = 0;
};

class traffic
{
public:
    explicit traffic(deployment& system) : system_(system) {}
    ~traffic()
    {
        for (auto& each : requests_)
            each.join();
    }

    /** Sends for this time; the answers are counted as they come. */
    void send(ms time, counts& into)
    {
        const auto until = now() + time;
        std::exponential_distribution<double> gap(
            dossiers_per_s + tags_per_s + lookups_per_s + clearances_per_s);
        const std::array<double, 4> rates{dossiers_per_s, tags_per_s,
                                          lookups_per_s, clearances_per_s};
        // Each kind comes as often as the sheet says, not by chance.
        std::array<double, 4> due{};
        for (auto at = now(); at < until;
             at += ms(1 + static_cast<long>(1000 * gap(random_)))) {
            std::this_thread::sleep_until(at);
            for (std::size_t i = 0; i < rates.size(); ++i)
                due[i] += rates[i];
            const int drawn = static_cast<int>(
                std::max_element(due.begin(), due.end()) - due.begin());
            due[static_cast<std::size_t>(drawn)] -=
                dossiers_per_s + tags_per_s + lookups_per_s + clearances_per_s;
            const auto gateway = random_() % gateways;
            requests_.emplace_back(
                [this, drawn, gateway, &into, number = next_++] {
                    call(drawn, gateway, number, into);
                });
        }
    }

private:
    void call(int kind, std::size_t gateway, int number, counts& into)
    {
        char id[24];
        std::snprintf(id, sizeof id, "e%07x", number);
        std::string text;
        if (kind == 0)
            text = stream_request("/dossier/1", id, 3000, 936, 39000);
        else if (kind == 1)
            text = stream_request("/tag/1", id, 2200, 12, 6000);
        else if (kind == 2)
            text = plain_request("POST", "/lookup/1", id, "{}");
        else
            text = plain_request("GET", "/clearance/1", id);
        client peer(system_.front(gateway));
        peer.send(text);
        const auto got = peer.read(now() + ms(kind == 0 ? 39000 : 6000));
        const bool served = got.complete && got.status == 200;
        ++into.sent;
        into.served += served;
        into.plain_sent += kind >= 2;
        into.plain_served += kind >= 2 && served;
        record(std::string("client: ") + id + " to gateway " +
               std::to_string(gateway) + " -> status " +
               std::to_string(got.status) +
               (got.complete ? " complete " : " incomplete: " + got.how) +
               (got.status == 503 ? got.body : ""));
    }

    deployment& system_;
    std::mt19937 random_{20261207};
    std::deque<std::thread> requests_;
    int next_ = 0;
};

std::string text_of(const counts& counted)
{
    return "served " + std::to_string(counted.served) + " of " +
           std::to_string(counted.sent) + ", of the plain service " +
           std::to_string(counted.plain_served) + " of " +
           std::to_string(counted.plain_sent);
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = read_options(argc, argv);
    deployment system(given, gateways, 3, 3);
    for (auto& each : system.models)
        each->event_ms = ms(30);
    system.start(configuration_text());
    if (!system.wait_until_ready()) {
        record("not ready");
        system.finish(2);
    }
    std::this_thread::sleep_for(ms(2500));
    counts before;
    counts recovered;
    {
        traffic requests(system);
        requests.send(phase, before);
        record("SIGKILL to all gateways and monitors; they start again");
        system.kill_all(ms(1000));
        const auto back_at = now();
        std::this_thread::sleep_until(back_at + entries_after);
        if (given.trouble) {
            int number = 0;
            for (const auto& each : system.plain) {
                const auto id = "x-" + std::to_string(++number);
                const auto text =
                    "{\"service\":\"registro-copy\",\"address\":\"" +
                    each->address() +
                    "\",\"zone\":\"mendoza-a\",\"version\":\"v1\",\"slots\":6,"
                    "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,"
                    "\"born\":1760000500000}";
                system.directory.put("keyed.servers", id, text);
                record("another writer puts servers/" + id + " " + text);
            }
            std::this_thread::sleep_for(entries_time);
            for (int i = 1; i <= number; ++i)
                system.directory.put("keyed.servers", "x-" + std::to_string(i),
                                     "");
            record("the entries of the other writer are removed");
        } else {
            record("no entries of another writer: TROUBLE=0");
        }
        std::this_thread::sleep_until(back_at + recover_time);
        record("recover_s after the machines are back");
        requests.send(phase, recovered);
    }
    record("before the final fault: " + text_of(before));
    record("later than recover_s after it: " + text_of(recovered));
    std::printf("before %s; later than recover_s %s\n", text_of(before).c_str(),
                text_of(recovered).c_str());
    if (before.served * 4 < before.sent || recovered.sent < 50)
        system.finish(2);
    system.finish(recovered.served * 4 < recovered.sent ? 1 : 0);
}
