#ifndef CYCLAMENRUN_TESTS_ENDLESS_SERVER_HPP
#define CYCLAMENRUN_TESTS_ENDLESS_SERVER_HPP

#include "scripted_server.hpp"

#include <atomic>
#include <cstdint>
#include <list>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace cyclamenrun::testing_support
{

/** An answer that begins and then repeats its last part until it is closed. */
struct endless_answer {
    const char* name;
    std::string beginning;
    std::string repeated;
};

/** Endless answers, one for each part of an HTTP/1.1 answer. */
inline std::vector<endless_answer> endless_answers()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"no_http", "", "\xff\x01garbage"},
        {"line_ends", "", "\r\n"},
        {"reason", "HTTP/1.1 200 ", "O"},
        {"field_name", ok, "X"},
        {"field_value", ok + "X-A: ", "a"},
        {"folded_field", ok + "X-A: b", "\r\n c"},
        {"fields", ok, "X-A: b\r\n"},
        {"interim_heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"length", ok + "Content-Length: 999999999999\r\n\r\n", "x"},
        {"unframed", ok + "\r\n", "x"},
        {"chunks", chunked, "4\r\nabcd\r\n"},
        {"chunk_size", chunked, "0"},
        {"chunk_extension", chunked + "4;a=", "b"},
        {"chunk_extensions", chunked,
         "1;a=" + std::string(2000, 'b') + "\r\nx\r\n"},
        {"trailers", chunked + "0\r\n", "X-A: b\r\n"},
    };
}

/**
 * A TCP server that sends an endless answer on each connection, at full speed
 * and on all connections at once.
 */
class endless_server
{
public:
    explicit endless_server(const endless_answer& answer)
        : answer_(answer), socket_(Poco::Net::SocketAddress("127.0.0.1:0")),
          thread_([this] { serve(); })
    {
    }

    ~endless_server()
    {
        // A connection ends the blocking accept.
        stopping_ = true;
        Poco::Net::StreamSocket(socket_.address()).close();
        thread_.join();
        for (auto& [connection, thread] : senders_) {
            ::shutdown(connection.impl()->sockfd(), SHUT_RDWR);
            thread.join();
        }
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::string address() const { return socket_.address().toString(); }
    std::uint16_t port() const { return socket_.address().port(); }

private:
    struct sender {
        Poco::Net::StreamSocket connection;
        std::thread thread;
    };

    void serve()
    {
        while (!stopping_) {
            auto connection = socket_.acceptConnection();
            if (!stopping_)
                senders_.push_back(
                    {connection, std::thread([this, connection]() mutable {
                         send_until_closed(connection);
                     })});
        }
    }

    void send_until_closed(Poco::Net::StreamSocket& connection)
    {
        std::string block;
        while (block.size() < block_bytes)
            block += answer_.repeated;
        try {
            scripted_server::receive_request(connection);
            scripted_server::send(connection, answer_.beginning);
            while (!stopping_)
                scripted_server::send(connection, block);
        } catch (const Poco::Exception&) {
            return; // the client closed the connection
        }
    }

    static constexpr std::size_t block_bytes = std::size_t(64) << 10;

    endless_answer answer_;
    Poco::Net::ServerSocket socket_;
    std::atomic<bool> stopping_ = false;
    std::list<sender> senders_;
    std::thread thread_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_ENDLESS_SERVER_HPP
