#include "link_server.hpp"

#include "link_listener.hpp"
#include "link_loop.hpp"

#include <future>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr int backlog = 256;

} // namespace

link_server::link_server(link_loop& loop,
                         const Poco::Net::SocketAddress& address,
                         std::string link_key, const link_limits& limits,
                         request_handler handler)
    : reactor_(loop.reactor())
{
    Poco::Net::ServerSocket socket;
    socket.bind(address, true);
    socket.listen(backlog);
    address_ = socket.address();
    const auto context = std::make_shared<const link_server_context>(
        link_server_context{std::move(link_key), limits, std::move(handler)});
    listener_ = std::make_shared<link_listener>(reactor_, context, socket);
    reactor_->post([listener = listener_] { listener->start(); });
}

link_server::~link_server()
{
    if (reactor_->on_loop_thread()) {
        listener_->close_all();
        return;
    }
    std::promise<void> closed;
    const bool posted = reactor_->post([this, &closed] {
        listener_->close_all();
        closed.set_value();
    });
    if (posted)
        closed.get_future().wait();
}

void link_server::stop_accepting()
{
    reactor_->post([listener = listener_] { listener->stop_accepting(); });
}

} // namespace cyclamenrun
