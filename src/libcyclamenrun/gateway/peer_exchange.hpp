#ifndef CYCLAMENRUN_PEER_EXCHANGE_HPP
#define CYCLAMENRUN_PEER_EXCHANGE_HPP

#include "clock.hpp"
#include "gateway_count_hooks.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenrun::v1
{
class PeerMessage;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/**
 * A table of which each gateway has a copy. `version` counts the changes of
 * this copy, those that it received from peers included.
 */
struct peer_table {
    std::function<std::uint64_t()> version;
    /**
     * Adds the oldest changes after a version to the message, as many as fit
     * into a datagram, and returns the version that they reach.
     */
    std::function<std::uint64_t(std::uint64_t after, v1::PeerMessage&,
                                time_point now)>
        write;
    /** Merges the changes in the message that are new to this copy. */
    std::function<void(const v1::PeerMessage&, time_point now)> merge;
};

/**
 * Decides what a gateway sends to which other gateways, so that a change of a
 * shared table reaches all of them. Does no I/O.
 *
 * A change goes to a few random peers at once, and from them to others. In
 * addition each gateway exchanges versions with a few random peers once a
 * second, which makes up for lost datagrams and brings a new gateway up to
 * date. Peers are found through the seeds of the settings and through other
 * peers. A gateway that is not heard of, directly or through others, is
 * removed.
 */
class peer_exchange
{
public:
    struct datagram {
        std::string host;
        std::string bytes;
    };

    /**
     * `own_host`: IP address of this gateway; `incarnation`: random, of this
     * process, not 0.
     */
    peer_exchange(std::string own_host, std::vector<std::string> seeds,
                  std::vector<peer_table> tables, std::uint64_t incarnation,
                  std::mt19937_64& random, clock_function awake_clock = {});

    /** Returns the datagrams that are due. */
    std::vector<datagram> send_due(time_point now);
    /** When to call send_due() again, unless a table changes before. */
    time_point next_send() const;
    /** Handles a datagram and returns the answer to it, if any. */
    std::optional<datagram> receive(const std::string& host,
                                    std::string_view bytes, time_point now);

    /**
     * Handles a message without tables, which is for this gateway alone, and
     * returns the answer to it, if any.
     */
    using direct_handler = std::function<std::optional<v1::PeerMessage>(
        const std::string& host, const v1::PeerMessage&)>;
    void set_direct_handler(direct_handler handler)
    {
        direct_handler_ = std::move(handler);
    }
    /** Tells peers how many gateways there were, and learns it from them. */
    void set_count_hooks(gateway_count_hooks hooks)
    {
        count_hooks_ = std::move(hooks);
    }
    /** The datagram with a message without tables to one gateway. */
    datagram direct_message(const std::string& host,
                            v1::PeerMessage message) const;

    const std::string& own_host() const { return own_host_; }
    std::vector<std::string> known_hosts() const;
    /** A few random gateways of those that are known. */
    std::vector<std::string> random_hosts();
    /** Number of gateways, this one included. */
    std::size_t gateway_count() const { return peers_.size() + 1; }

private:
    struct table_state {
        std::uint64_t acknowledged = 0; ///< own version that the peer has
        std::uint64_t merged = 0;       ///< peer's version that is merged here
    };
    struct peer {
        std::uint64_t incarnation = 0; ///< 0: not heard directly
        time_point heard_at;           ///< awake time
        std::vector<table_state> tables;
    };

    bool changed_since_push() const;
    /** When the next push is due; time_point::max(): none is. */
    time_point next_push() const;
    bool is_behind(const peer& known) const;
    void push(std::vector<datagram>& out, time_point now);
    void probe(std::vector<datagram>& out, time_point now);
    milliseconds silence_timeout() const;
    void remove_silent(time_point now);
    void name_peers(v1::PeerMessage& message, const std::string& receiver,
                    time_point now);
    std::vector<std::string> sample(std::vector<std::string> from,
                                    std::size_t count);
    time_point awake_time(time_point now) const
    {
        return awake_clock_ ? awake_clock_() : now;
    }
    peer* find_or_add(const std::string& host, time_point heard_at);
    void learn_peers(const v1::PeerMessage& message, time_point now);
    /** Returns true if the peer has acknowledged further changes. */
    bool read_positions(peer& from, const v1::PeerMessage& message);
    enum class message_kind : std::uint8_t { push, probe, probe_answer };
    datagram message_to(const std::string& host, message_kind kind,
                        time_point now);

    std::string own_host_;
    std::vector<std::string> seeds_;
    std::vector<peer_table> tables_;
    std::uint64_t incarnation_;
    std::mt19937_64& random_;
    clock_function awake_clock_;
    direct_handler direct_handler_;
    gateway_count_hooks count_hooks_;
    std::map<std::string, peer> peers_; ///< by host
    time_point next_probe_{};
    std::uint64_t probes_ = 0;
    time_point next_push_{};        ///< of changes that were pushed before
    time_point next_change_push_{}; ///< of later ones
    unsigned pushes_left_ = 0;
    std::vector<std::uint64_t> pushed_; ///< versions at the last push
};

/** Maximum number of other gateways that are known. */
inline constexpr std::size_t max_peers = 1024;

/** Maximum size of the changes in one datagram. */
inline constexpr std::size_t max_change_bytes = 900;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PEER_EXCHANGE_HPP
