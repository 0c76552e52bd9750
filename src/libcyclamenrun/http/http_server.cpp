#include "http_server.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Interval at which silent unread connections are looked for. */
constexpr milliseconds silent_check_interval{250};

} // namespace

http_server::http_server(const std::shared_ptr<link_reactor>& reactor,
                         const ip_endpoint& address, session_hooks hooks,
                         connection_gate gate)
    : reactor_(reactor),
      hooks_(std::make_shared<const session_hooks>(std::move(hooks))),
      gate_(std::move(gate)),
      acceptor_(std::make_shared<tcp_acceptor>(
          reactor, address,
          [this](const Poco::Net::StreamSocket& socket) { accept(socket); }))
{
    if (gate_.present())
        acceptor_->set_gate(gate_);
}

void http_server::start()
{
    acceptor_->start();
}

void http_server::accept(const Poco::Net::StreamSocket& socket)
{
    if (gate_.present())
        add_unread(socket);
    else
        add(socket);
}

void http_server::add_unread(const Poco::Net::StreamSocket& socket)
{
    const auto limits = hooks_->limits();
    const auto now = reactor_->awake_now();
    const auto id = next_unread_++;
    auto connection = std::make_shared<unread_connection>(
        reactor_, socket,
        unread_connection::deadlines{now + limits.idle_timeout,
                                     now + limits.header_timeout},
        [weak = weak_from_this(), id](unread_connection& readable) {
            if (const auto server = weak.lock())
                server->read_first(id);
            else
                readable.reset();
        });
    connection->start();
    unread_.emplace(id, std::move(connection));
    check_silent_later();
}

void http_server::read_first(std::uint64_t id)
{
    const auto found = unread_.find(id);
    if (found == unread_.end())
        return;
    const auto connection = found->second;
    unread_.erase(found);
    if (gate_.may_read())
        add(connection->release());
    else
        connection->reset();
}

void http_server::check_silent_later()
{
    if (unread_.empty() || std::exchange(silent_check_pending_, true))
        return;
    reactor_->post_timeout(reactor_->awake_now() + silent_check_interval,
                           [weak = weak_from_this()] {
                               if (const auto server = weak.lock())
                                   server->close_silent();
                           });
}

void http_server::close_silent()
{
    silent_check_pending_ = false;
    const bool pressure = gate_.under_pressure();
    const auto now = reactor_->awake_now();
    std::erase_if(unread_, [&](const auto& entry) {
        const auto& until = entry.second->silent_until();
        if (now < (pressure ? until.under_pressure : until.usual) ||
            entry.second->has_unread_bytes())
            return false;
        entry.second->reset();
        return true;
    });
    check_silent_later();
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
    for (const auto& [id, connection] : std::map(unread_)) {
        if (connection->has_unread_bytes())
            read_first(id);
        else
            connection->reset();
    }
    unread_.clear();
    for (const auto& weak : std::vector(sessions_)) {
        if (const auto session = weak.lock())
            session->close_if_idle();
    }
}

std::size_t http_server::untaken_answers() const
{
    return count_sessions(&http_session::has_untaken_answer);
}

std::size_t http_server::kept_connections() const
{
    return count_sessions(&http_session::is_kept);
}

std::size_t http_server::incomplete_requests() const
{
    return count_sessions(&http_session::is_receiving);
}

std::size_t http_server::count_sessions(bool (http_session::*matches)()
                                            const) const
{
    return static_cast<std::size_t>(std::count_if(
        sessions_.begin(), sessions_.end(), [matches](const auto& weak) {
            const auto session = weak.lock();
            return session && ((*session).*matches)();
        }));
}

std::size_t http_server::connections()
{
    remove_closed();
    return sessions_.size() + unread_.size();
}

} // namespace cyclamenrun
