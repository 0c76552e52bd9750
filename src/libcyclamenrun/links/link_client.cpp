#include "link_client.hpp"

#include "link_client_connection.hpp"
#include "link_loop.hpp"

#include <Poco/Exception.h>
#include <utility>

namespace cyclamenrun
{

link_client::link_client(std::shared_ptr<link_reactor> reactor,
                         const Poco::Net::SocketAddress& address,
                         std::string link_key, const link_limits& limits)
    : reactor_(std::move(reactor)), address_(address),
      link_key_(std::move(link_key)), limits_(limits)
{
}

std::shared_ptr<link_client>
link_client::create(link_loop& loop, const Poco::Net::SocketAddress& address,
                    std::string link_key, const link_limits& limits)
{
    return create(loop.reactor(), address, std::move(link_key), limits);
}

std::shared_ptr<link_client>
link_client::create(std::shared_ptr<link_reactor> reactor,
                    const Poco::Net::SocketAddress& address,
                    std::string link_key, const link_limits& limits)
{
    return std::shared_ptr<link_client>(new link_client(
        std::move(reactor), address, std::move(link_key), limits));
}

link_client::~link_client()
{
    reactor_->post([connection = std::move(connection_)] {
        if (connection)
            connection->retire();
    });
}

std::shared_ptr<client_stream>
link_client::open(std::string path, const std::string& request_frame,
                  client_handlers handlers)
{
    std::string request;
    request.reserve(request_frame.size() + frame_prefix_bytes);
    append_frame(request, request_frame);
    auto stream = std::shared_ptr<client_stream>(
        new client_stream(reactor_, std::move(path), std::move(request),
                          std::move(handlers), limits_));
    const bool posted = reactor_->post(
        [self = shared_from_this(), stream] { self->start(stream); });
    // The loop has ended, so no callback will report the end of the stream.
    if (!posted)
        stream->end({.failure = link_failure::connection_lost});
    return stream;
}

void link_client::close()
{
    reactor_->post([self = shared_from_this()] {
        self->closed_ = true;
        if (self->connection_)
            self->connection_->cancel_all();
    });
}

void link_client::start(const std::shared_ptr<client_stream>& stream)
{
    if (stream->ended_)
        return;
    if (closed_) {
        stream->end({.failure = link_failure::cancelled});
        return;
    }
    if (stream->request_.size() >
        limits_.max_frame_bytes + frame_prefix_bytes) {
        stream->end({.failure = link_failure::too_large});
        return;
    }
    if (!connection_ || !connection_->accepts_streams())
        connect();
    if (!connection_)
        stream->end({.failure = link_failure::connect_failed});
    else if (connection_->streams() >= limits_.max_streams)
        stream->end({.failure = link_failure::too_many_streams});
    else
        connection_->open(stream);
}

void link_client::connect()
{
    if (const auto old = std::exchange(connection_, nullptr))
        old->retire();
    if (reactor_->stopping())
        return;
    Poco::Net::StreamSocket socket;
    try {
        socket.connectNB(address_);
    } catch (const Poco::Exception&) {
        return;
    }
    const auto weak = weak_from_this();
    // Only compared, never dereferenced: the connection may be destroyed.
    const auto pointer = std::make_shared<const link_client_connection*>();
    link_client_connection::hooks hooks;
    hooks.ready = [weak, pointer] {
        const auto self = weak.lock();
        if (self && self->connection_.get() == *pointer)
            self->connected_ = true;
    };
    hooks.unusable = [weak, pointer] {
        if (const auto self = weak.lock())
            self->release_connection(*pointer);
    };
    connection_ = std::make_shared<link_client_connection>(
        reactor_, limits_, socket, link_key_, std::move(hooks));
    *pointer = connection_.get();
    connection_->start();
}

void link_client::release_connection(const link_client_connection* connection)
{
    if (connection_.get() != connection)
        return;
    connection_ = nullptr;
    connected_ = false;
}

} // namespace cyclamenrun
