#ifndef CYCLAMENRUN_TESTS_SCRIPTED_SERVER_HPP
#define CYCLAMENRUN_TESTS_SCRIPTED_SERVER_HPP

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace cyclamenrun::testing_support
{

/** A TCP server that runs a script on each connection, one at a time. */
class scripted_server
{
public:
    using script = std::function<void(Poco::Net::StreamSocket&)>;

    explicit scripted_server(script connection_script)
        : script_(std::move(connection_script)),
          socket_(Poco::Net::SocketAddress("127.0.0.1:0")),
          thread_([this] { serve(); })
    {
    }

    /** Answers each request with the latest reply from set_reply(). */
    scripted_server()
        : scripted_server([this](Poco::Net::StreamSocket& connection) {
              reply(current_reply())(connection);
          })
    {
    }

    ~scripted_server()
    {
        // A connection ends the blocking accept.
        stopping_ = true;
        Poco::Net::StreamSocket(socket_.address()).close();
        thread_.join();
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::string address() const { return socket_.address().toString(); }

    void set_reply(std::string bytes)
    {
        const std::lock_guard guard(lock_);
        reply_ = std::move(bytes);
    }

    /**
     * Reads a request's head, sends `answer`, then reads until the peer closes:
     * closing with unread bytes would reset the connection and could lose the
     * answer.
     */
    static script reply(const std::string& answer)
    {
        return [answer](Poco::Net::StreamSocket& connection) {
            receive_request(connection);
            send(connection, answer);
            connection.shutdownSend();
            wait_for_close(connection);
        };
    }

    static std::string receive_request(Poco::Net::StreamSocket& connection)
    {
        std::string text;
        std::array<char, 4096> piece{};
        while (text.find("\r\n\r\n") == std::string::npos) {
            const int count = connection.receiveBytes(
                piece.data(), static_cast<int>(piece.size()));
            if (count <= 0)
                break;
            text.append(piece.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    static void send(Poco::Net::StreamSocket& connection,
                     const std::string& bytes)
    {
        connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    /** Discards input until the peer closes the connection. */
    static void wait_for_close(Poco::Net::StreamSocket& connection)
    {
        std::array<char, 4096> piece{};
        while (connection.receiveBytes(piece.data(),
                                       static_cast<int>(piece.size())) > 0) {
        }
    }

private:
    std::string current_reply() const
    {
        const std::lock_guard guard(lock_);
        return reply_;
    }

    void serve()
    {
        while (!stopping_) {
            auto connection = socket_.acceptConnection();
            try {
                if (!stopping_)
                    script_(connection);
            } catch (const Poco::Exception&) {
                continue; // the client closed the connection
            }
        }
    }

    script script_;
    mutable std::mutex lock_;
    std::string reply_;
    Poco::Net::ServerSocket socket_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_SCRIPTED_SERVER_HPP
