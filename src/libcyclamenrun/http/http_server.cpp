#include "http_server.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

http_server::http_server(const std::shared_ptr<link_reactor>& reactor,
                         const ip_endpoint& address, session_hooks hooks)
    : reactor_(reactor),
      hooks_(std::make_shared<const session_hooks>(std::move(hooks))),
      acceptor_(std::make_shared<tcp_acceptor>(
          reactor, address,
          [this](const Poco::Net::StreamSocket& socket) { add(socket); }))
{
}

void http_server::start()
{
    acceptor_->start();
}

void http_server::stop_accepting()
{
    acceptor_->stop();
}

void http_server::add(const Poco::Net::StreamSocket& socket)
{
    auto connection = std::make_shared<tcp_connection>(reactor_, socket, false);
    auto session =
        std::make_shared<http_session>(reactor_, std::move(connection), hooks_);
    session->start();
    sessions_.push_back(session);
    if (sessions_.size() >= cleanup_threshold_)
        remove_closed();
}

void http_server::remove_closed()
{
    std::erase_if(sessions_, [](const auto& weak) {
        const auto session = weak.lock();
        return !session || !session->open();
    });
    cleanup_threshold_ = std::max<std::size_t>(64, 2 * sessions_.size());
}

void http_server::close_idle()
{
    remove_closed();
    for (const auto& weak : std::vector(sessions_)) {
        if (const auto session = weak.lock())
            session->close_if_idle();
    }
}

std::size_t http_server::connections()
{
    remove_closed();
    return sessions_.size();
}

} // namespace cyclamenrun
