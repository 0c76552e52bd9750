#include "peer_link.hpp"

#include "digest.hpp"
#include "peers.pb.h"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

peer_link::peer_link(std::shared_ptr<link_reactor> reactor,
                     const ip_endpoint& listen, std::vector<std::string> seeds,
                     std::vector<peer_table> tables, std::uint64_t seed)
    : reactor_(std::move(reactor)), port_(listen.port), random_(seed),
      exchange_(listen.host, std::move(seeds), std::move(tables),
                std::max<std::uint64_t>(1, random_u64()), random_,
                [reactor = reactor_] { return reactor->awake_now(); }),
      socket_(std::make_shared<datagram_socket>(
          reactor_, listen,
          [this](const ip_endpoint& from, std::string_view bytes) {
              handle_datagram(from, bytes);
          }))
{
}

void peer_link::start()
{
    socket_->start();
    send_due();
}

void peer_link::send(const std::string& host, v1::PeerMessage message)
{
    const auto sent = exchange_.direct_message(host, std::move(message));
    socket_->send({sent.host, port_}, sent.bytes);
}

void peer_link::send_to_some(const v1::PeerMessage& message)
{
    for (const auto& host : exchange_.random_hosts())
        send(host, message);
}

void peer_link::push_changes()
{
    send_due();
}

void peer_link::handle_datagram(const ip_endpoint& from, std::string_view bytes)
{
    if (from.port != port_)
        return;
    if (const auto answer =
            exchange_.receive(from.host, bytes, reactor_->now()))
        socket_->send({answer->host, port_}, answer->bytes);
    send_due();
}

void peer_link::send_due()
{
    for (const auto& due : exchange_.send_due(reactor_->now()))
        socket_->send({due.host, port_}, due.bytes);
    schedule();
}

void peer_link::schedule()
{
    const auto next = exchange_.next_send();
    if (next == timer_at_)
        return;
    timer_at_ = next;
    reactor_->post_at(next, [weak = weak_from_this(), next] {
        const auto self = weak.lock();
        if (self && self->timer_at_ == next) {
            self->timer_at_ = {};
            self->send_due();
        }
    });
}

} // namespace cyclamenrun
