#ifndef CYCLAMENRUN_TESTS_PEER_NETWORK_HPP
#define CYCLAMENRUN_TESTS_PEER_NETWORK_HPP

#include "peer_exchange.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * Gateways that exchange datagrams on a simulated network with a virtual
 * clock. `Tables` holds what one gateway shares; its member tables() returns
 * the tables for the exchange.
 */
template <typename Tables>
class peer_network
{
public:
    struct node {
        std::string host;
        std::unique_ptr<Tables> tables;
        std::unique_ptr<peer_exchange> exchange;
        bool up = true;
        bool frozen = false;
        std::uint64_t sent = 0;
        std::uint64_t sent_bytes = 0;
    };

    peer_network(std::size_t size, std::uint64_t seed, std::size_t seeds = 3)
        : random(seed)
    {
        for (std::size_t i = 0; i < size; ++i)
            hosts_.push_back(host_of(i));
        seeds_.assign(hosts_.begin(),
                      hosts_.begin() +
                          static_cast<std::ptrdiff_t>(std::min(seeds, size)));
        nodes.resize(size);
        for (std::size_t i = 0; i < size; ++i) {
            nodes[i].host = hosts_[i];
            start(i);
        }
    }

    static std::string host_of(std::size_t i)
    {
        return "10.1." + std::to_string(i / 250) + "." +
               std::to_string(i % 250 + 1);
    }

    /** Starts a gateway, which knows nothing. */
    void start(std::size_t i)
    {
        auto& started = nodes[i];
        index_[started.host] = i;
        started.exchange.reset();
        started.tables = std::make_unique<Tables>();
        started.exchange = std::make_unique<peer_exchange>(
            started.host, seeds_, started.tables->tables(), random() | 1,
            random);
        started.up = true;
        started.frozen = false;
    }
    void stop(std::size_t i) { nodes[i].up = false; }

    /** Adds a gateway whose seeds are those of the others. */
    std::size_t add()
    {
        nodes.emplace_back();
        nodes.back().host = host_of(nodes.size() - 1);
        start(nodes.size() - 1);
        return nodes.size() - 1;
    }

    bool runs(std::size_t i) const { return nodes[i].up && !nodes[i].frozen; }

    /** Sends what is due, and delivers what arrives, up to `end`. */
    void run_until(time_point end)
    {
        while (now < end) {
            now = std::min(end, now + milliseconds(1));
            deliver();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                if (!runs(i) || now < nodes[i].exchange->next_send())
                    continue;
                for (auto& sent : nodes[i].exchange->send_due(now))
                    send(i, std::move(sent));
            }
        }
    }
    void run_for(milliseconds time) { run_until(now + time); }

    std::vector<node> nodes;
    std::mt19937_64 random;
    time_point now{milliseconds(1000000)};
    double loss = 0; ///< share of the datagrams
    /** Whether a datagram from one gateway reaches another one. */
    std::function<bool(std::size_t, std::size_t)> connected =
        [](std::size_t, std::size_t) { return true; };

private:
    struct transit {
        time_point arrives_at;
        std::uint64_t number;
        std::size_t from;
        std::size_t to;
        std::string bytes;
        bool operator>(const transit& other) const
        {
            return std::pair(arrives_at, number) >
                   std::pair(other.arrives_at, other.number);
        }
    };

    void send(std::size_t from, peer_exchange::datagram sent)
    {
        ++nodes[from].sent;
        nodes[from].sent_bytes += sent.bytes.size();
        const auto to = index_.find(sent.host);
        if (to == index_.end() || !connected(from, to->second) ||
            std::uniform_real_distribution<double>(0, 1)(random) < loss)
            return;
        in_transit_.push({now + milliseconds(1 + random() % 3), ++number_, from,
                          to->second, std::move(sent.bytes)});
    }

    void deliver()
    {
        while (!in_transit_.empty() && in_transit_.top().arrives_at <= now) {
            auto arrived = in_transit_.top();
            in_transit_.pop();
            if (!runs(arrived.to))
                continue;
            auto answer = nodes[arrived.to].exchange->receive(
                nodes[arrived.from].host, arrived.bytes, now);
            if (answer)
                send(arrived.to, std::move(*answer));
        }
    }

    std::vector<std::string> hosts_;
    std::unordered_map<std::string, std::size_t> index_; ///< by host
    std::vector<std::string> seeds_;
    std::uint64_t number_ = 0;
    std::priority_queue<transit, std::vector<transit>, std::greater<>>
        in_transit_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_PEER_NETWORK_HPP
