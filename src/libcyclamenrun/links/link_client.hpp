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
 * The client end of a link: a connection to one peer, such as an entry's to an
 * agent. It connects when a stream is opened and there is no connection.
 * Thread-safe. Streams that are open when the client is destroyed continue to
 * their end.
 */
class link_client : public std::enable_shared_from_this<link_client>
{
public:
    static std::shared_ptr<link_client>
    create(link_loop& loop, const Poco::Net::SocketAddress& address,
           std::string link_key, const link_limits& limits);
    /** For owners without a link_loop, which they must not keep alive. */
    static std::shared_ptr<link_client>
    create(std::shared_ptr<link_reactor> reactor,
           const Poco::Net::SocketAddress& address, std::string link_key,
           const link_limits& limits);

    link_client(const link_client&) = delete;
    link_client& operator=(const link_client&) = delete;
    ~link_client();

    /**
     * Opens a stream and sends `request_frame` on it. All failures are reported
     * to the handlers.
     */
    std::shared_ptr<client_stream> open(std::string path,
                                        const std::string& request_frame,
                                        client_handlers handlers);

    /** Whether there is a connection whose peer is authenticated. */
    bool connected() const { return connected_; }
    /** Cancels all streams; streams opened later are cancelled at once. */
    void close();

private:
    link_client(std::shared_ptr<link_reactor> reactor,
                const Poco::Net::SocketAddress& address, std::string link_key,
                const link_limits& limits);

    void start(const std::shared_ptr<client_stream>& stream);
    void connect();
    void release_connection(const link_client_connection* connection);

    const std::shared_ptr<link_reactor> reactor_;
    const Poco::Net::SocketAddress address_;
    const std::string link_key_;
    const link_limits limits_;
    std::atomic<bool> connected_ = false;

    // The members below are used on the loop's thread only.
    std::shared_ptr<link_client_connection> connection_;
    bool closed_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_CLIENT_HPP
