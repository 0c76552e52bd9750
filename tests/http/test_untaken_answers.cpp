#include "http_server.hpp"
#include "link_loop.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenrun
{
namespace
{

constexpr std::size_t body_bytes = std::size_t(24) << 20;
constexpr int small_receive_buffer = 4096;

/** What a caller read, and whether the connection ended in an orderly way. */
struct reading {
    std::string bytes;
    bool orderly = false;

    std::size_t body_bytes() const
    {
        const auto end = bytes.find("\r\n\r\n");
        return end == std::string::npos ? 0 : bytes.size() - end - 4;
    }
};

/** A server with one large answer, which ends with its connection. */
class untaken_answers : public testing::Test
{
protected:
    untaken_answers()
    {
        session_hooks hooks;
        hooks.serve = [this](const caller_request&,
                             const std::shared_ptr<answer_writer>& writer) {
            http_head head;
            head.status = 200;
            if (ends_answer) {
                writer->write_whole(head, std::string(body_bytes, 'x'),
                                    http_framing::connection);
            } else {
                writer->begin(head, http_framing::connection);
                writer->write_piece("part");
            }
            served.set_value();
            return session_hooks::disconnect_handler();
        };
        hooks.limits = [this] {
            session_limits limits;
            limits.idle_timeout = idle_timeout;
            return limits;
        };
        hooks.on_untaken = [this](std::size_t bytes) { untaken = bytes; };
        std::promise<void> started;
        loop->post([&] {
            server = std::make_shared<http_server>(
                loop->reactor(), ip_endpoint{"127.0.0.1", 0}, hooks);
            server->start();
            started.set_value();
        });
        started.get_future().wait();
    }

    ~untaken_answers() override
    {
        std::promise<void> stopped;
        loop->post([&] {
            server->stop_accepting();
            server.reset();
            stopped.set_value();
        });
        stopped.get_future().wait();
        loop.reset();
    }

    /** Connects with a small buffer and sends a request. */
    Poco::Net::StreamSocket send_request()
    {
        const auto address = server->address();
        const Poco::Net::SocketAddress peer(address.host, address.port);
        Poco::Net::StreamSocket socket(peer.family());
        socket.setReceiveBufferSize(small_receive_buffer);
        socket.connect(peer);
        socket.setReceiveTimeout(Poco::Timespan(10, 0));
        const std::string text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        served.get_future().wait();
        return socket;
    }

    static void read_to_end(Poco::Net::StreamSocket& socket, reading& so_far)
    {
        std::array<char, 65536> piece{};
        try {
            int count = 0;
            while ((count = socket.receiveBytes(piece.data(), piece.size())) >
                   0)
                so_far.bytes.append(piece.data(),
                                    static_cast<std::size_t>(count));
            so_far.orderly = true;
        } catch (const Poco::Exception&) {
            so_far.orderly = false;
        }
    }

    std::atomic<bool> ends_answer = true;
    milliseconds idle_timeout{15000};
    std::promise<void> served;
    std::atomic<std::size_t> untaken = 0;
    std::unique_ptr<link_loop> loop = std::make_unique<link_loop>();
    std::shared_ptr<http_server> server;
};

// Guards against a whole answer that loses its end: the caller takes it more
// slowly than a closing connection is kept, with pauses.
TEST_F(untaken_answers, reach_a_caller_that_reads_with_pauses)
{
    auto socket = send_request();
    reading got;
    std::array<char, 65536> piece{};
    for (int pause = 0; pause < 2; ++pause) {
        std::this_thread::sleep_for(milliseconds(1500));
        for (int i = 0; i < 64; ++i) {
            const auto count = socket.receiveBytes(piece.data(), piece.size());
            ASSERT_GT(count, 0);
            got.bytes.append(piece.data(), static_cast<std::size_t>(count));
        }
    }
    read_to_end(socket, got);
    EXPECT_TRUE(got.orderly);
    EXPECT_EQ(got.body_bytes(), body_bytes);
    EXPECT_EQ(untaken, 0U);
}

// Guards against a part of an answer that looks whole: the caller stops
// reading, so that the connection is given up.
TEST_F(untaken_answers, are_reset_when_the_caller_stops_reading)
{
    idle_timeout = milliseconds(600);
    auto socket = send_request();
    const auto deadline = steady_now() + std::chrono::seconds(10);
    while (untaken == 0 && steady_now() < deadline)
        std::this_thread::sleep_for(milliseconds(10));
    EXPECT_GT(untaken, 0U);
    reading got;
    read_to_end(socket, got);
    EXPECT_FALSE(got.orderly);
    EXPECT_LT(got.body_bytes(), body_bytes);
}

// Guards against a part of an answer that looks whole: its caller ends sending,
// which counts as leaving, while it goes on reading.
TEST_F(untaken_answers, are_reset_when_the_caller_closes_its_side)
{
    ends_answer = false;
    auto socket = send_request();
    socket.shutdownSend();
    reading got;
    read_to_end(socket, got);
    EXPECT_FALSE(got.orderly);
}

} // namespace
} // namespace cyclamenrun
