// Clients send long bodies, within the configuration's limit, over slow links.
#include "standins.hpp"

using namespace standins;

namespace
{

constexpr int requests = 150;
/** The sheet's 48.8 requests a second come to five gateways; this is one. */
constexpr ms gap{100};
constexpr std::size_t body_bytes = 4'000'000; ///< of `max_body_bytes` 4,194,304
constexpr std::size_t parts = 20;
/** Between two parts: the body takes 1.2 s over a link of 27 Mbit/s. */
constexpr ms slow_part{60};
constexpr ms fast_part{1};

} // namespace

int main(int argc, char** argv)
{
    const auto given = read_options(argc, argv);
    deployment system(given, 1, 2, 3);
    system.start(configuration_text());
    if (!system.wait_until_ready()) {
        record("not ready");
        system.finish(2);
    }
    std::this_thread::sleep_for(ms(2500));
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> denied = 0;
    const std::string body(body_bytes, 'b');
    const auto call = [&](int number) {
        char id[24];
        std::snprintf(id, sizeof id, "a%07x", number);
        client peer(system.front(0));
        const auto text = plain_request("POST", "/lookup/1", id, body, 2500);
        constexpr std::size_t part = body_bytes / parts;
        bool open = true;
        for (std::size_t at = 0; open && at < text.size(); at += part) {
            open = peer.send(text.substr(at, part));
            std::this_thread::sleep_for(given.trouble ? slow_part : fast_part);
        }
        const auto got = peer.read(now() + ms(5000));
        ++sent;
        served += got.complete && got.status == 200;
        const bool is_denied = got.complete && got.status >= 300 &&
                               got.status < 500 && got.status != 408 &&
                               got.status != 421 && got.status != 429 &&
                               field_of(got.head, "Response-Seal").empty();
        denied += is_denied;
        record(std::string("client: ") + id + " sent " +
               std::to_string(body_bytes) + " bytes -> status " +
               std::to_string(got.status) +
               (got.complete ? " complete " : " incomplete: " + got.how) +
               (is_denied ? " DENIED, Retry-After " +
                                field_of(got.head, "Retry-After")
                          : ""));
    };
    std::vector<std::thread> threads;
    auto at = now();
    for (int number = 0; number < requests; ++number, at += gap) {
        std::this_thread::sleep_until(at);
        threads.emplace_back(call, number);
    }
    for (auto& each : threads)
        each.join();
    const double allowed = 5 + sent / 500.0;
    std::printf("sent %d, served %d, denied %d, allowed %.1f\n", sent.load(),
                served.load(), denied.load(), allowed);
    record("sent " + std::to_string(sent) + ", served " +
           std::to_string(served) + ", denied " + std::to_string(denied));
    system.finish(denied > allowed ? 1 : 0);
}
