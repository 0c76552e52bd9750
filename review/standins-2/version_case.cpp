// Model runners of two software versions serve side by side. While the store is
// silent, the two of the older version crash one after the other and start
// again under their ids with the newer one.
#include "standins.hpp"

using namespace standins;

namespace
{

constexpr int gateways = 2;
constexpr int old_runners = 2; ///< of version 1
constexpr int new_runners = 4; ///< of version 2
constexpr int streams = 120;
constexpr ms silence{4400}; ///< of the store
constexpr ms runner_down{1000};

/** What has come of a stream, without an event that is not whole. */
std::string whole_events(const std::string& body)
{
    const auto end = body.rfind("\n\n");
    return end == std::string::npos ? std::string() : body.substr(0, end + 2);
}

int last_event(const std::string& body)
{
    const auto at = body.rfind("id: ");
    return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

} // namespace

int main(int argc, char** argv)
{
    const auto given = read_options(argc, argv);
    deployment system(given, gateways, old_runners + new_runners, 1);
    for (int i = 0; i < new_runners; ++i)
        system.models[static_cast<std::size_t>(old_runners + i)]->version = 2;
    system.start(configuration_text());
    if (!system.wait_until_ready()) {
        record("not ready");
        system.finish(2);
    }
    std::this_thread::sleep_for(ms(3000));
    std::atomic<int> whole = 0;
    std::atomic<int> mixed = 0;
    std::atomic<int> broken = 0;
    std::vector<std::thread> clients;
    const auto started = now();
    const auto renew = [&](std::size_t number) {
        auto& renewed = *system.models[number];
        record(renewed.id + " crashes");
        renewed.crash();
        std::this_thread::sleep_for(runner_down);
        renewed.version = 2;
        renewed.start_again();
        system.list_runners();
        record(renewed.id + " starts again under its id with version 2");
    };
    std::thread trouble([&] {
        if (!given.trouble) {
            record("the store answers and no runner crashes: TROUBLE=0");
            return;
        }
        std::this_thread::sleep_until(started + ms(4000));
        record("the store is silent");
        system.directory.silent = true;
        std::this_thread::sleep_until(started + ms(4300));
        renew(0);
        std::this_thread::sleep_until(started + ms(5900));
        renew(1);
        std::this_thread::sleep_until(started + ms(4000) + silence);
        system.directory.silent = false;
        system.list_runners();
        record("the store answers again");
    });
    for (int i = 0; i < streams; ++i) {
        // Twelve streams a second, each of 5 s.
        std::this_thread::sleep_until(started + ms(83 * i));
        clients.emplace_back([&, i] {
            char id[24];
            std::snprintf(id, sizeof id, "a%07x", i);
            client peer(system.front(static_cast<std::size_t>(i % gateways)));
            peer.send(stream_request("/tag/1", id, 400, 480, 6000));
            auto got = peer.read(now() + ms(7000));
            if (got.status == 200 && !got.complete) {
                // The client takes its stream up again, once, elsewhere.
                const auto body = whole_events(got.body);
                const auto last = last_event(body);
                record(std::string("client: ") + id +
                       " broken off after event " + std::to_string(last) +
                       ", taken up again");
                const std::string again = std::string(id) + "2";
                auto text = stream_request("/tag/1", again, 400, 480, 6000);
                text.insert(text.find("Deadline-Ms"),
                            "Last-Event-Id: " + std::to_string(last) +
                                "\r\nResumes: " + id + "\r\n");
                client second(
                    system.front(static_cast<std::size_t>((i + 1) % gateways)));
                second.send(text);
                got = second.read(now() + ms(7000));
                got.body = body + (got.status == 200 ? got.body : "");
                if (got.status != 200) {
                    record(std::string("client: ") + again + " -> status " +
                           std::to_string(got.status) + " " + got.body);
                    return;
                }
            }
            if (got.status != 200) {
                record(std::string("client: ") + id + " -> status " +
                       std::to_string(got.status) + " " + got.body);
                return;
            }
            const bool first = got.body.find(" by v1\n") != std::string::npos;
            const bool second = got.body.find(" by v2\n") != std::string::npos;
            ++(got.complete ? whole : broken);
            mixed += first && second;
            record(std::string("client: ") + id + " -> 200 " +
                   (got.complete ? "whole" : "broken off") + ", events of" +
                   (first ? " v1" : "") + (second ? " v2" : "") +
                   (first && second ? " ORDER" : ""));
        });
    }
    for (auto& each : clients)
        each.join();
    trouble.join();
    record("whole " + std::to_string(whole) + ", broken off " +
           std::to_string(broken) + ", of two versions " +
           std::to_string(mixed));
    std::printf("streams %d, whole %d, broken off %d, of two versions %d "
                "(allowed 2)\n",
                streams, whole.load(), broken.load(), mixed.load());
    if (whole < streams / 3)
        system.finish(2);
    system.finish(mixed > 2 ? 1 : 0);
}
