#include "link_listener.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/SocketImpl.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Delay before the next accept after a failed one. */
constexpr milliseconds accept_retry_delay{100};

} // namespace

link_listener::link_listener(std::shared_ptr<link_reactor> reactor,
                             std::shared_ptr<const link_server_context> context,
                             const Poco::Net::ServerSocket& socket)
    : reactor_(std::move(reactor)), context_(std::move(context)),
      socket_(socket)
{
}

void link_listener::start()
{
    if (reactor_->stopping())
        return;
    const auto descriptor = static_cast<int>(socket_.impl()->sockfd());
    watch_ = reactor_->watch(descriptor, shared_from_this(), false);
    accepting_ = true;
}

void link_listener::stop_accepting()
{
    if (!accepting_)
        return;
    accepting_ = false;
    reactor_->unwatch(watch_);
    socket_.close();
}

void link_listener::close_all()
{
    stop_accepting();
    for (connections* list : {&authenticated_, &unauthenticated_}) {
        const connections closing = std::exchange(*list, {});
        for (const auto& [number, connection] : closing)
            connection->loop_stopping();
    }
}

void link_listener::ready(bool /*readable*/, bool /*writable*/)
{
    if (accepting_)
        accept_one();
}

void link_listener::flush() {}

void link_listener::loop_stopping()
{
    close_all();
}

void link_listener::accept_one()
{
    try {
        Poco::Net::StreamSocket socket = socket_.acceptConnection();
        socket.setBlocking(false);
        socket.setNoDelay(true);
        add(socket);
    } catch (const Poco::Exception&) {
        // When the process is out of file descriptors, the socket stays
        // readable and the loop would spin; stop polling it for a while.
        pause_accepting();
    }
}

void link_listener::pause_accepting()
{
    reactor_->set_interest(watch_, false, false);
    reactor_->post_at(
        reactor_->now() + accept_retry_delay, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->accepting_)
                self->reactor_->set_interest(self->watch_, true, false);
        });
}

void link_listener::add(const Poco::Net::StreamSocket& socket)
{
    // Returning drops the last reference to the socket, which closes it.
    if (authenticated_.size() >= context_->limits.max_connections)
        return;
    if (unauthenticated_.size() >= context_->limits.max_unauthenticated)
        unauthenticated_.begin()->second->loop_stopping();
    const std::uint64_t number = next_connection_++;
    const auto weak = weak_from_this();
    link_server_connection::hooks hooks;
    hooks.authenticated = [weak, number] {
        if (const auto self = weak.lock())
            self->authenticated_.insert(self->unauthenticated_.extract(number));
    };
    hooks.closed = [weak, number] {
        if (const auto self = weak.lock()) {
            self->authenticated_.erase(number);
            self->unauthenticated_.erase(number);
        }
    };
    const auto connection = std::make_shared<link_server_connection>(
        reactor_, context_, socket, std::move(hooks));
    unauthenticated_[number] = connection;
    connection->start();
}

} // namespace cyclamenrun
