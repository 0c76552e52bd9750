#include "http_server.hpp"
#include "link_loop.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <optional>
#include <sys/ioctl.h>
#include <thread>

namespace cyclamenrun
{
namespace
{

using Poco::Net::StreamSocket;

const std::string request_text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string held_request_text = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n";

/** A server that stops; answers to /held wait for the test. */
class closing_connections : public testing::Test
{
protected:
    void start(const connection_gate& gate = {})
    {
        session_hooks hooks;
        hooks.serve = [this](const caller_request& request,
                             const std::shared_ptr<answer_writer>& writer) {
            http_head head;
            head.status = 200;
            if (request.head.target == "/held") {
                writer->begin(head, http_framing::chunked);
                held = writer;
            } else {
                writer->write_whole(head, "hello");
            }
            return session_hooks::disconnect_handler();
        };
        hooks.limits = [this] {
            session_limits limits;
            limits.idle_timeout = idle_timeout;
            return limits;
        };
        hooks.stopping = [this] { return stopping.load(); };
        hooks.on_dropped = [this](close_reason reason) { dropped = reason; };
        on_loop([&] {
            server = std::make_shared<http_server>(
                loop->reactor(), ip_endpoint{"127.0.0.1", 0}, hooks, gate);
            server->start();
        });
    }

    ~closing_connections() override
    {
        on_loop([this] {
            held.reset();
            server->stop_accepting();
            server.reset();
        });
        loop.reset();
    }

    void on_loop(const std::function<void()>& work)
    {
        std::promise<void> done;
        loop->post([&] {
            work();
            done.set_value();
        });
        done.get_future().wait();
    }

    /** Begins the stop in the iteration in which `arrive` has been called. */
    void stop_after(const std::function<void()>& arrive)
    {
        std::promise<void> blocked;
        std::promise<void> arrived;
        std::promise<void> done;
        loop->post([&] {
            blocked.set_value();
            arrived.get_future().wait();
            stop();
            done.set_value();
        });
        blocked.get_future().wait();
        arrive();
        arrived.set_value();
        done.get_future().wait();
    }

    void stop()
    {
        stopping = true;
        server->stop_accepting();
        server->close_idle();
    }

    StreamSocket connect() const
    {
        const auto address = server->address();
        StreamSocket socket(
            Poco::Net::SocketAddress(address.host, address.port));
        socket.setReceiveTimeout(Poco::Timespan(10, 0));
        return socket;
    }

    /** Returns when the server's host has received all. */
    static void send(StreamSocket& socket, const std::string& text)
    {
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        int unacknowledged = 1;
        while (unacknowledged > 0) {
            std::this_thread::sleep_for(milliseconds(1));
            ::ioctl(socket.impl()->sockfd(), SIOCOUTQ, &unacknowledged);
        }
    }

    /** Reads until the text, or until the connection ends. */
    static std::string read_until(StreamSocket& socket, const std::string& text)
    {
        std::string read;
        std::array<char, 4096> piece{};
        try {
            int count = 1;
            while (count > 0 && read.find(text) == std::string::npos) {
                count = socket.receiveBytes(piece.data(), piece.size());
                read.append(piece.data(), static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception&) {
            return read;
        }
        return read;
    }

    /** Whether the connection yields one whole answer that announces its end.
     */
    static bool gets_last_answer(StreamSocket& socket)
    {
        const auto text = read_until(socket, "hello");
        return text.find("200") != std::string::npos &&
               text.find("Connection: close") != std::string::npos &&
               text.find("hello") != std::string::npos;
    }

    /** Starts an answer that does not announce the stop. */
    StreamSocket connect_and_hold()
    {
        auto socket = connect();
        send(socket, held_request_text);
        read_until(socket, "\r\n\r\n");
        return socket;
    }

    std::size_t kept_connections()
    {
        std::size_t count = 0;
        on_loop([&] { count = server->kept_connections(); });
        return count;
    }

    milliseconds idle_timeout{15000};
    std::atomic<bool> stopping = false;
    std::atomic<std::optional<close_reason>> dropped;
    std::shared_ptr<answer_writer> held;
    std::unique_ptr<link_loop> loop = std::make_unique<link_loop>();
    std::shared_ptr<http_server> server;
};

// Guards against a loss without a trace: a request crosses the close of its
// idle connection.
TEST_F(closing_connections, report_a_request_that_is_not_read)
{
    start();
    auto socket = connect();
    send(socket, request_text);
    read_until(socket, "hello");
    on_loop([this] { stop(); });
    EXPECT_EQ(dropped.load(), std::nullopt);
    send(socket, request_text);
    const auto deadline = steady_now() + std::chrono::seconds(10);
    while (!dropped.load() && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(1));
    EXPECT_EQ(dropped.load(), close_reason::stopping);
}

// Guards against a lost request: it has arrived, but has not been read yet when
// its connection is closed as idle.
TEST_F(closing_connections, answer_a_request_that_has_arrived)
{
    start();
    auto socket = connect();
    send(socket, request_text);
    read_until(socket, "hello");
    stop_after([&] { send(socket, request_text); });
    EXPECT_TRUE(gets_last_answer(socket));
}

// Guards against a lost request: it is the first one of its connection, of
// which the server has read nothing when it stops.
TEST_F(closing_connections, answer_a_first_request_that_has_arrived)
{
    connection_gate gate;
    gate.must_wait = [] { return false; };
    gate.may_accept = [] { return true; };
    gate.may_read = [] { return true; };
    gate.under_pressure = [] { return false; };
    start(gate);
    auto socket = connect();
    std::size_t unread = 0;
    while (unread == 0)
        on_loop([&] { unread = server->unread_connections(); });
    stop_after([&] { send(socket, request_text); });
    EXPECT_TRUE(gets_last_answer(socket));
}

// Guards against a lost request: its connection waits in the listener's queue
// when the listener is closed.
TEST_F(closing_connections, answer_a_request_in_the_queue_of_the_listener)
{
    start();
    StreamSocket socket;
    stop_after([&] {
        socket = connect();
        send(socket, request_text);
    });
    EXPECT_TRUE(gets_last_answer(socket));
}

// Guards against a lost request: the answer before it began before the stop
// and ends in it, so that its caller knew of none.
TEST_F(closing_connections, answer_one_more_request_after_a_long_answer)
{
    start();
    auto socket = connect_and_hold();
    on_loop([this] {
        stop();
        held->finish();
    });
    const auto end = read_until(socket, "0\r\n\r\n");
    EXPECT_EQ(end, "0\r\n\r\n");
    send(socket, request_text);
    EXPECT_TRUE(gets_last_answer(socket));
}

// Guards against lost requests: they were read behind another one, and the
// answer to that one announces the end of the connection.
TEST_F(closing_connections, answer_pipelined_requests_that_have_arrived)
{
    start();
    auto socket = connect_and_hold();
    send(socket, request_text + request_text);
    on_loop([this] {
        stop();
        held->finish();
    });
    const auto text = read_until(socket, "Connection: close");
    const auto first = text.find("hello");
    EXPECT_NE(first, std::string::npos);
    EXPECT_NE(text.find("200", first), std::string::npos);
}

// Guards against a lost request: the answer before it ended in the stop, just
// before idle connections are closed.
TEST_F(closing_connections, answer_one_more_request_after_a_late_answer)
{
    start();
    auto socket = connect_and_hold();
    stopping = true;
    on_loop([this] { held->finish(); });
    read_until(socket, "0\r\n\r\n");
    on_loop([this] { stop(); });
    send(socket, request_text);
    EXPECT_TRUE(gets_last_answer(socket));
}

// Guards against a lost request: its caller reads the long answer before it
// more slowly than a connection is kept in a stop.
TEST_F(closing_connections, answer_a_pipelined_request_of_a_slow_reader)
{
    constexpr std::size_t bytes = std::size_t(12) << 20;
    start();
    auto socket = connect_and_hold();
    send(socket, request_text);
    on_loop([this] {
        stop();
        held->write_piece(std::string(bytes, 'x'));
        held->finish();
    });
    std::this_thread::sleep_for(milliseconds(1200));
    const auto text = read_until(socket, "hello");
    EXPECT_GT(text.size(), bytes);
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_NE(text.find("hello"), std::string::npos);
}

// Guards against a stop that lasts until its deadline: a caller whose answer
// did not announce the stop sends nothing more.
TEST_F(closing_connections, end_soon_when_their_callers_send_nothing)
{
    idle_timeout = milliseconds(2000);
    start();
    auto socket = connect_and_hold();
    std::this_thread::sleep_for(milliseconds(1600));
    on_loop([this] {
        stop();
        held->finish();
    });
    const auto stopped = steady_now();
    EXPECT_EQ(read_until(socket, "never"), "0\r\n\r\n");
    EXPECT_LT(steady_now() - stopped, milliseconds(1500));
}

// Guards against a stop that lasts until its deadline: a caller always has the
// next request on its way.
TEST_F(closing_connections, end_soon_when_their_callers_pipeline_on)
{
    start();
    auto socket = connect_and_hold();
    std::string series;
    for (int i = 0; i < 200; ++i)
        series += request_text;
    std::atomic<bool> ended = false;
    std::thread sender([&] {
        const auto until = steady_now() + milliseconds(4000);
        try {
            while (!ended && steady_now() < until) {
                socket.sendBytes(series.data(),
                                 static_cast<int>(series.size()));
                std::this_thread::sleep_for(milliseconds(1));
            }
        } catch (const Poco::Exception&) {
            ended = true;
        }
    });
    on_loop([this] {
        stop();
        held->finish();
    });
    const auto stopped = steady_now();
    const auto text = read_until(socket, "Connection: close");
    const auto took = steady_now() - stopped;
    ended = true;
    sender.join();
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
    EXPECT_LT(took, milliseconds(2000));
}

} // namespace
} // namespace cyclamenrun
