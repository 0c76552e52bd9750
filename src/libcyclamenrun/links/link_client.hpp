#ifndef CYCLAMENRUN_LINK_CLIENT_HPP
#define CYCLAMENRUN_LINK_CLIENT_HPP

#include "client_stream.hpp"
#include "link_limits.hpp"

#include <Poco/Net/SocketAddress.h>
#include <atomic>
#include <memory>
#include <string>

namespace cyclamenrun
{

class link_client_connection;
class link_loop;

/**
 * The end of a link that asks: the entry's, to one peer. It connects when a
 * stream is opened and no connection stands. Any thread may call it. When the
 * last owner lets go, open streams run to their end.
 */
class link_client : public std::enable_shared_from_this<link_client>
{
public:
    static std::shared_ptr<link_client>
    create(link_loop& loop, const Poco::Net::SocketAddress& address,
           std::string link_key, const link_limits& limits);
    /** For owners that must not keep the loop itself. */
    static std::shared_ptr<link_client>
    create(std::shared_ptr<link_reactor> reactor,
           const Poco::Net::SocketAddress& address, std::string link_key,
           const link_limits& limits);

    link_client(const link_client&) = delete;
    link_client& operator=(const link_client&) = delete;
    ~link_client();

    std::shared_ptr<client_stream> open(std::string path,
                                        const std::string& request_frame,
                                        client_handlers handlers);

    /** Whether a connection stands on which the peer has proved the key. */
    bool connected() const { return connected_; }
    /** Cancels all streams, for good. */
    void close();

private:
    link_client(std::shared_ptr<link_reactor> reactor,
                const Poco::Net::SocketAddress& address, std::string link_key,
                const link_limits& limits);

    void start(const std::shared_ptr<client_stream>& stream);
    void connect();
    void connection_gone(const link_client_connection* connection);

    const std::shared_ptr<link_reactor> reactor_;
    const Poco::Net::SocketAddress address_;
    const std::string link_key_;
    const link_limits limits_;
    std::atomic<bool> connected_ = false;

    // For the loop's thread only.
    std::shared_ptr<link_client_connection> connection_;
    bool closed_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_CLIENT_HPP
