#include "peer_exchange.hpp"

#include "gateway_count_message.hpp"
#include "message_reader.hpp"
#include "peers.pb.h"

#include <Poco/Net/IPAddress.h>
#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Peers that get each push and each probe. */
constexpr std::size_t fanout = 3;
/**
 * Peers named in each datagram. In a large fleet most gateways are heard of
 * only in this way: most names are of those heard of last, so that fresh news
 * spreads faster than it ages, the others let all gateways become known.
 */
constexpr std::size_t named_latest = 12;
constexpr std::size_t named_others = 4;
constexpr std::size_t latest_peers = 64;
constexpr milliseconds probe_interval{1000};
/** A gateway that has just started probes more often, to know the others. */
constexpr milliseconds first_probe_interval{250};
constexpr unsigned first_probes = 40;
/** A change is pushed again, to other peers, while some may lack it. */
constexpr milliseconds push_interval{100};
/** Least time from a push to one with later changes. */
constexpr milliseconds change_interval{30};
constexpr unsigned pushes_per_change = 4;
/**
 * A gateway that was not heard of for this long has ended or is cut off. News
 * of each one is rarer the more there are, since a datagram names a few only.
 */
constexpr milliseconds base_silence_timeout{15000};
constexpr milliseconds silence_timeout_per_peer{100};
/** In one of so many probes a seed is asked that is not known as a peer. */
constexpr unsigned seed_probe_period = 4;

/** A datagram to anything else would wait for a look-up of its name. */
bool is_ip_address(const std::string& host)
{
    Poco::Net::IPAddress address;
    return !host.empty() && Poco::Net::IPAddress::tryParse(host, address);
}

bool is_direct(const v1::PeerMessage& message)
{
    return message.loans_size() > 0 || message.origins_size() > 0;
}

} // namespace

peer_exchange::peer_exchange(std::string own_host,
                             std::vector<std::string> seeds,
                             std::vector<peer_table> tables,
                             std::uint64_t incarnation, std::mt19937_64& random,
                             clock_function awake_clock)
    : own_host_(std::move(own_host)), seeds_(std::move(seeds)),
      tables_(std::move(tables)), incarnation_(incarnation), random_(random),
      awake_clock_(std::move(awake_clock)), pushed_(tables_.size(), 0)
{
}

bool peer_exchange::changed_since_push() const
{
    for (std::size_t i = 0; i < tables_.size(); ++i)
        if (tables_[i].version() != pushed_[i])
            return true;
    return false;
}

bool peer_exchange::is_behind(const peer& known) const
{
    for (std::size_t i = 0; i < tables_.size(); ++i)
        if (tables_[i].version() != known.tables[i].acknowledged)
            return true;
    return false;
}

time_point peer_exchange::next_push() const
{
    if (changed_since_push())
        return std::min(next_push_, next_change_push_);
    return pushes_left_ > 0 ? next_push_ : time_point::max();
}

time_point peer_exchange::next_send() const
{
    return std::min(next_push(), next_probe_);
}

std::vector<peer_exchange::datagram> peer_exchange::send_due(time_point now)
{
    std::vector<datagram> out;
    if (now >= next_push()) {
        if (changed_since_push()) {
            for (std::size_t i = 0; i < tables_.size(); ++i)
                pushed_[i] = tables_[i].version();
            pushes_left_ = pushes_per_change;
        }
        --pushes_left_;
        next_push_ = now + push_interval;
        next_change_push_ = now + change_interval;
        push(out, now);
    }
    if (now >= next_probe_) {
        const bool is_new = probes_ < first_probes;
        next_probe_ = now + (is_new ? first_probe_interval : probe_interval);
        ++probes_;
        remove_silent(now);
        probe(out, now);
    }
    return out;
}

void peer_exchange::push(std::vector<datagram>& out, time_point now)
{
    std::vector<std::string> behind;
    for (const auto& [host, known] : peers_)
        if (is_behind(known))
            behind.push_back(host);
    if (behind.empty())
        pushes_left_ = 0;
    for (const auto& host : sample(std::move(behind), fanout))
        out.push_back(message_to(host, message_kind::push, now));
}

void peer_exchange::probe(std::vector<datagram>& out, time_point now)
{
    std::vector<std::string> unknown_seeds;
    for (const auto& seed : seeds_)
        if (seed != own_host_ && !peers_.contains(seed))
            unknown_seeds.push_back(seed);
    auto chosen = random_hosts();
    // Seeds that are down are asked rarely, and all at once while no other way
    // leads to the fleet. That joins parts of the fleet that were cut off from
    // each other.
    const bool alone = peers_.empty();
    if (alone || random_() % seed_probe_period == 0)
        for (auto& seed :
             sample(std::move(unknown_seeds), alone ? seeds_.size() : 1))
            chosen.push_back(std::move(seed));
    for (const auto& host : chosen)
        out.push_back(message_to(host, message_kind::probe, now));
}

std::vector<std::string> peer_exchange::known_hosts() const
{
    std::vector<std::string> known;
    known.reserve(peers_.size());
    for (const auto& [host, state] : peers_)
        known.push_back(host);
    return known;
}

std::vector<std::string> peer_exchange::random_hosts()
{
    return sample(known_hosts(), fanout);
}

peer_exchange::datagram
peer_exchange::direct_message(const std::string& host,
                              v1::PeerMessage message) const
{
    message.set_incarnation(incarnation_);
    return {host, message.SerializeAsString()};
}

milliseconds peer_exchange::silence_timeout() const
{
    return base_silence_timeout +
           static_cast<int>(peers_.size()) * silence_timeout_per_peer;
}

void peer_exchange::remove_silent(time_point now)
{
    std::erase_if(peers_, [now = awake_time(now),
                           limit = silence_timeout()](const auto& entry) {
        return now - entry.second.heard_at > limit;
    });
}

void peer_exchange::name_peers(v1::PeerMessage& message,
                               const std::string& receiver, time_point now)
{
    std::vector<const std::pair<const std::string, peer>*> others;
    others.reserve(peers_.size());
    for (const auto& entry : peers_)
        if (entry.first != receiver)
            others.push_back(&entry);
    const auto latest =
        others.begin() +
        static_cast<std::ptrdiff_t>(std::min(others.size(), latest_peers));
    std::nth_element(others.begin(), latest, others.end(),
                     [](const auto* left, const auto* right) {
                         return left->second.heard_at > right->second.heard_at;
                     });
    const auto name = [&](auto begin, auto end, std::size_t count) {
        count = std::min(count, static_cast<std::size_t>(end - begin));
        for (std::size_t i = 0; i < count; ++i) {
            const auto left = static_cast<std::size_t>(end - begin) - i;
            std::swap(begin[i], begin[i + random_() % left]);
            const auto age = std::chrono::duration_cast<milliseconds>(
                awake_time(now) - begin[i]->second.heard_at);
            auto& named = *message.add_peers();
            named.set_host(begin[i]->first);
            named.set_age_ms(static_cast<std::uint32_t>(
                std::max<std::int64_t>(0, age.count())));
        }
    };
    name(others.begin(), latest, named_latest);
    name(latest, others.end(), named_others);
}

std::vector<std::string> peer_exchange::sample(std::vector<std::string> from,
                                               std::size_t count)
{
    count = std::min(count, from.size());
    for (std::size_t i = 0; i < count; ++i)
        std::swap(from[i], from[i + random_() % (from.size() - i)]);
    from.resize(count);
    return from;
}

peer_exchange::peer* peer_exchange::find_or_add(const std::string& host,
                                                time_point heard_at)
{
    if (host.empty() || host == own_host_)
        return nullptr;
    auto found = peers_.find(host);
    if (found == peers_.end()) {
        if (peers_.size() >= max_peers)
            return nullptr;
        found = peers_.try_emplace(host).first;
        found->second.heard_at = heard_at;
        found->second.tables.resize(tables_.size());
    }
    found->second.heard_at = std::max(found->second.heard_at, heard_at);
    return &found->second;
}

void peer_exchange::learn_peers(const v1::PeerMessage& message, time_point now)
{
    const auto limit = silence_timeout();
    for (const auto& named : message.peers()) {
        const milliseconds age(named.age_ms());
        if (age < limit && is_ip_address(named.host()))
            (void)find_or_add(named.host(), awake_time(now) - age);
    }
}

std::optional<peer_exchange::datagram>
peer_exchange::receive(const std::string& host, std::string_view bytes,
                       time_point now)
{
    v1::PeerMessage message;
    if (!read_checked(bytes, message) || message.incarnation() == 0)
        return std::nullopt;
    if (message.incarnation() == incarnation_) {
        own_host_ = host;
        peers_.erase(host);
        return std::nullopt;
    }
    auto* const from = find_or_add(host, awake_time(now));
    if (from == nullptr)
        return std::nullopt;
    if (std::exchange(from->incarnation, message.incarnation()) !=
        message.incarnation())
        from->tables.assign(tables_.size(), table_state());
    if (is_direct(message)) {
        auto answer =
            direct_handler_ ? direct_handler_(host, message) : std::nullopt;
        if (!answer)
            return std::nullopt;
        return direct_message(host, std::move(*answer));
    }
    if (count_hooks_.learn)
        read_gateway_counts(message, count_hooks_.learn);
    const bool progress = read_positions(*from, message);
    bool has_changes = false;
    for (const auto& position : message.tables())
        has_changes = has_changes || position.up_to() != position.after();
    for (const auto& table : tables_)
        if (has_changes)
            table.merge(message, now);
    learn_peers(message, now);
    // Without progress the peer would be sent the same changes in a loop.
    const bool has_more = progress && is_behind(*from);
    if (!message.reply_wanted() && !has_changes && !has_more)
        return std::nullopt;
    return message_to(host,
                      message.reply_wanted() ? message_kind::probe_answer
                                             : message_kind::push,
                      now);
}

bool peer_exchange::read_positions(peer& from, const v1::PeerMessage& message)
{
    bool progress = false;
    const auto count = std::min(
        tables_.size(), static_cast<std::size_t>(message.tables_size()));
    for (std::size_t i = 0; i < count; ++i) {
        const auto& position = message.tables(static_cast<int>(i));
        auto& known = from.tables[i];
        // Changes behind a gap are merged, but not acknowledged.
        if (position.after() <= known.merged)
            known.merged = std::max(known.merged, position.up_to());
        if (message.receiver_incarnation() != incarnation_)
            continue;
        const auto acknowledged =
            std::min(position.acknowledged(), tables_[i].version());
        progress = progress || acknowledged > known.acknowledged;
        known.acknowledged = acknowledged;
    }
    return progress;
}

peer_exchange::datagram peer_exchange::message_to(const std::string& host,
                                                  message_kind kind,
                                                  time_point now)
{
    v1::PeerMessage message;
    message.set_incarnation(incarnation_);
    message.set_reply_wanted(kind == message_kind::probe);
    const auto found = peers_.find(host);
    if (found != peers_.end())
        message.set_receiver_incarnation(found->second.incarnation);
    for (std::size_t i = 0; i < tables_.size(); ++i) {
        auto& position = *message.add_tables();
        if (found != peers_.end()) {
            position.set_after(found->second.tables[i].acknowledged);
            position.set_acknowledged(found->second.tables[i].merged);
        }
        position.set_up_to(tables_[i].write(position.after(), message, now));
    }
    // Changes come in series, and peers are known for long.
    if (kind != message_kind::push) {
        if (count_hooks_.counts)
            write_gateway_counts(count_hooks_.counts(), message);
        name_peers(message, host, now);
    }
    return {host, message.SerializeAsString()};
}

} // namespace cyclamenrun
