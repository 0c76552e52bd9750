#include "http_server.hpp"

#include <Poco/Net/StreamSocket.h>
#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>

namespace cyclamenrun
{
namespace
{

using Poco::Net::StreamSocket;

constexpr milliseconds idle_timeout{200};
const std::string request_text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/** A server whose loop and clock are those of the test. */
class idle_connections : public testing::Test
{
protected:
    idle_connections()
    {
        session_hooks hooks;
        hooks.serve = [](const caller_request&,
                         const std::shared_ptr<answer_writer>& writer) {
            http_head head;
            head.status = 200;
            writer->write_whole(head, "hello");
            return session_hooks::disconnect_handler();
        };
        hooks.limits = [this] { return limits; };
        limits.idle_timeout = idle_timeout;
        server = std::make_shared<http_server>(
            reactor, ip_endpoint{"127.0.0.1", 0}, hooks);
        server->start();
        const auto address = server->address();
        caller =
            StreamSocket(Poco::Net::SocketAddress(address.host, address.port));
    }

    ~idle_connections() override
    {
        server->stop_accepting();
        reactor->stop();
        reactor->run();
    }

    /** Returns when the server's host has received all, or has closed. */
    void send(const std::string& text)
    {
        ::send(caller.impl()->sockfd(), text.data(), text.size(), MSG_NOSIGNAL);
        int unacknowledged = 1;
        for (int i = 0; i < 5000 && unacknowledged > 0; ++i) {
            std::this_thread::sleep_for(milliseconds(1));
            ::ioctl(caller.impl()->sockfd(), SIOCOUTQ, &unacknowledged);
        }
    }

    /** Runs the loop, without time, until bytes or an end arrive. */
    std::string read()
    {
        for (int i = 0; i < 500; ++i) {
            reactor->step();
            if (caller.poll(Poco::Timespan(0, 2000),
                            Poco::Net::Socket::SELECT_READ))
                break;
        }
        if (!caller.poll(Poco::Timespan(0, 0), Poco::Net::Socket::SELECT_READ))
            return "nothing";
        std::array<char, 4096> bytes{};
        const int count = caller.receiveBytes(bytes.data(), bytes.size());
        return {bytes.data(), static_cast<std::size_t>(count)};
    }

    bool answers() { return read().ends_with("hello"); }

    /**
     * Lets the time pass; `last` is called in the loop's last iteration,
     * between its sockets and its timeouts.
     */
    void pass(
        milliseconds time, const std::function<void()>& last = [] {})
    {
        const auto end = now + time;
        while (now < end) {
            now = std::min(reactor->next_iteration().value_or(end), end);
            if (now == end)
                reactor->post_at(now, last);
            reactor->step();
        }
    }

    time_point now = steady_now();
    session_limits limits;
    std::shared_ptr<link_reactor> reactor =
        std::make_shared<link_reactor>([this] { return now; });
    std::shared_ptr<http_server> server;
    StreamSocket caller;
};

TEST_F(idle_connections, a_silent_connection_is_closed)
{
    send(request_text);
    EXPECT_TRUE(answers());
    pass(idle_timeout);
    EXPECT_EQ(read(), "");
}

// Guards against a request that is dropped at the idle timeout: it arrives
// while a slow process is between its sockets and its timeouts.
TEST_F(idle_connections, a_request_that_has_arrived_at_the_timeout_is_answered)
{
    send(request_text);
    EXPECT_TRUE(answers());
    pass(idle_timeout, [this] { send(request_text); });
    EXPECT_TRUE(answers());
}

// The same for the rest of a request.
TEST_F(idle_connections, a_body_that_has_arrived_at_the_timeout_is_read)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    for (int i = 0; i < 20; ++i)
        reactor->step();
    pass(idle_timeout, [this] { send("cd"); });
    EXPECT_TRUE(answers());
}

// Guards against half a request that holds its connection open for ever.
TEST_F(idle_connections, half_a_request_is_closed)
{
    send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    for (int i = 0; i < 20; ++i)
        reactor->step();
    limits.idle_timeout = 10 * idle_timeout;
    pass(idle_timeout);
    EXPECT_EQ(read(), "");
}

TEST_F(idle_connections, a_longer_timeout_holds_at_idle_connections)
{
    send(request_text);
    EXPECT_TRUE(answers());
    limits.idle_timeout = 10 * idle_timeout;
    pass(9 * idle_timeout);
    send(request_text);
    EXPECT_TRUE(answers());
    pass(10 * idle_timeout);
    EXPECT_EQ(read(), "");
}

TEST_F(idle_connections, a_shorter_timeout_leaves_idle_connections_alone)
{
    limits.idle_timeout = 10 * idle_timeout;
    send(request_text);
    EXPECT_TRUE(answers());
    limits.idle_timeout = idle_timeout;
    pass(9 * idle_timeout);
    send(request_text);
    EXPECT_TRUE(answers());
    pass(idle_timeout);
    EXPECT_EQ(read(), "");
}

} // namespace
} // namespace cyclamenrun
