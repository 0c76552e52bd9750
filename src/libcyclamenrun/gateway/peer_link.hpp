#ifndef CYCLAMENRUN_PEER_LINK_HPP
#define CYCLAMENRUN_PEER_LINK_HPP

#include "datagram_socket.hpp"
#include "peer_exchange.hpp"

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/**
 * The datagrams between this gateway and the others, as peer_exchange decides
 * them. Used on the reactor's thread only.
 */
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /** All gateways listen on the port of `listen`. */
    peer_link(std::shared_ptr<link_reactor> reactor, const ip_endpoint& listen,
              std::vector<std::string> seeds, std::vector<peer_table> tables,
              std::uint64_t seed);

    /** See peer_exchange; to be called before start(). */
    void set_direct_handler(peer_exchange::direct_handler handler)
    {
        exchange_.set_direct_handler(std::move(handler));
    }
    /** The same. */
    void set_count_hooks(gateway_count_hooks hooks)
    {
        exchange_.set_count_hooks(std::move(hooks));
    }
    void start();
    /** Sends a message without tables to one gateway. */
    void send(const std::string& host, v1::PeerMessage message);
    /** Sends it to a few random gateways. */
    void send_to_some(const v1::PeerMessage& message);
    const std::string& own_host() const { return exchange_.own_host(); }
    std::vector<std::string> known_hosts() const
    {
        return exchange_.known_hosts();
    }
    /** Sends what changed in the tables; to be called after each change. */
    void push_changes();
    std::size_t gateway_count() const { return exchange_.gateway_count(); }

private:
    void handle_datagram(const ip_endpoint& from, std::string_view bytes);
    void send_due();
    void schedule();

    std::shared_ptr<link_reactor> reactor_;
    std::uint16_t port_;
    std::mt19937_64 random_;
    peer_exchange exchange_;
    std::shared_ptr<datagram_socket> socket_;
    /** Latest timer; an earlier one that is still pending does nothing. */
    time_point timer_at_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PEER_LINK_HPP
