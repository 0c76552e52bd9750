#include "peer_probes.hpp"

#include "digest.hpp"
#include "peer_exchange.hpp"
#include "poison_guard.hpp"
#include "shared_limits.hpp"
#include "upstream_limits.hpp"

#include <ctime>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace cyclamenrun::bench
{

namespace
{

constexpr std::size_t fleet_size = 370;
constexpr std::uint64_t prompt_parts = 50;

double thread_seconds()
{
    std::timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

class simulated_fleet
{
public:
    simulated_fleet()
    {
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < fleet_size; ++i)
            hosts_.push_back("10.0." + std::to_string(i / 250) + "." +
                             std::to_string(i % 250 + 1));
        seeds.assign(hosts_.begin(), hosts_.begin() + 3);
        for (std::size_t i = 0; i < fleet_size; ++i) {
            index_[hosts_[i]] = i;
            gateways_.push_back(
                std::make_unique<gateway>(hosts_[i], seeds, random_));
        }
    }

    void run_for(milliseconds time)
    {
        constexpr milliseconds step{10};
        for (const auto end = now_ + time; now_ < end; now_ += step) {
            for (std::size_t i = 0; i < fleet_size; ++i)
                for (auto& sent : gateways_[i]->exchange.send_due(now_))
                    send(i, std::move(sent));
            deliver();
        }
    }

    /** One gateway sees a request crash two upstreams. */
    void convict(std::uint64_t fingerprint)
    {
        for (const auto* upstream : {"u1", "u2"})
            gateways_[0]->poison.record_crash(upstream,
                                              {suspected_work(fingerprint), 0,
                                               run_stage::beginning, now_,
                                               now_},
                                              now_);
    }

    /** One gateway sees a part of long prompts crash three upstreams. */
    void convict_part()
    {
        for (std::uint64_t i = 0; i < 3; ++i) {
            std::vector<std::uint64_t> parts{1};
            for (std::uint64_t other = 1; other < prompt_parts; ++other)
                parts.push_back(hash64(std::to_string(other), i));
            const suspected_work work(hash64("request", i), parts);
            gateways_[0]->poison.record_crash(
                "part-" + std::to_string(i),
                {work, 0, run_stage::beginning, now_, now_}, now_);
            run_for(milliseconds(1000));
        }
    }

    std::size_t datagrams = 0;
    std::size_t bytes = 0;

private:
    struct gateway {
        gateway(const std::string& host, const std::vector<std::string>& seeds,
                std::mt19937_64& random)
            : poison(random), limits(random),
              exchange(
                  host, seeds,
                  {poison.table(),
                   make_limits_table(limits, [](const limit_observation&) {})},
                  random() | 1, random)
        {
        }
        poison_guard poison;
        upstream_limits limits;
        peer_exchange exchange;
    };

    void send(std::size_t from, peer_exchange::datagram&& sent)
    {
        ++datagrams;
        bytes += sent.bytes.size();
        in_transit_.emplace_back(from, std::move(sent));
    }

    void deliver()
    {
        while (!in_transit_.empty()) {
            auto [from, sent] = std::move(in_transit_.front());
            in_transit_.pop_front();
            const auto to = index_.at(sent.host);
            if (auto answer = gateways_[to]->exchange.receive(hosts_[from],
                                                              sent.bytes, now_))
                send(to, std::move(*answer));
        }
    }

    std::mt19937_64 random_{1};
    time_point now_{milliseconds(1'000'000)};
    std::vector<std::string> hosts_;
    std::map<std::string, std::size_t> index_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::deque<std::pair<std::size_t, peer_exchange::datagram>> in_transit_;
};

} // namespace

std::vector<capacity_constant> measure_peer_exchange()
{
    constexpr double seconds = 10;
    constexpr double in_us = 1e6;
    simulated_fleet fleet;
    fleet.run_for(milliseconds(20'000));
    fleet.datagrams = 0;
    fleet.bytes = 0;
    const double began = thread_seconds();
    fleet.run_for(milliseconds(static_cast<int>(seconds * 1000)));
    const double spent = thread_seconds() - began;
    const auto each = [&](double sum) { return sum / seconds / fleet_size; };
    std::vector<capacity_constant> result{
        {"gateway", "peers at 370: datagrams a second", "",
         each(static_cast<double>(fleet.datagrams))},
        {"gateway", "peers at 370: sent a second", "bytes",
         each(static_cast<double>(fleet.bytes))},
        {"gateway", "peers at 370: processor time a second", "us",
         each(spent * in_us)}};
    // What the probes of a second send is left out.
    const auto idle = static_cast<double>(fleet.datagrams) / seconds;
    fleet.datagrams = 0;
    fleet.convict(42);
    fleet.run_for(milliseconds(1000));
    result.push_back(
        {"gateway", "peers at 370: datagrams for one conviction", "",
         (static_cast<double>(fleet.datagrams) - idle) / fleet_size});
    const double idle_bytes = result[1].value;
    fleet.bytes = 0;
    fleet.convict_part();
    result.push_back(
        {"gateway", "peers at 370: sent a second, losses under 50 parts",
         "bytes", static_cast<double>(fleet.bytes) / 3 / fleet_size});
    result.push_back(
        {"gateway", "peers at 370: the same without what is sent at rest",
         "bytes",
         static_cast<double>(fleet.bytes) / 3 / fleet_size - idle_bytes});
    return result;
}

} // namespace cyclamenrun::bench
