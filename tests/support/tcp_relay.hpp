#ifndef CYCLAMENRUN_TESTS_TCP_RELAY_HPP
#define CYCLAMENRUN_TESTS_TCP_RELAY_HPP

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace cyclamenrun::testing_support
{

enum class relay_direction : std::size_t { to_target, to_client };

/**
 * Relays TCP connections to a target process. A test can cut this link, stall
 * it in one direction and restore it. `client` is the process that connects.
 */
class tcp_relay
{
public:
    explicit tcp_relay(std::string target)
        : target_(std::move(target)),
          socket_(Poco::Net::SocketAddress("127.0.0.1:0")),
          acceptor_([this] { accept(); })
    {
    }

    ~tcp_relay()
    {
        cut();
        {
            const std::lock_guard guard(lock_);
            stopping_ = true;
        }
        // A connection ends the blocking accept.
        Poco::Net::StreamSocket(socket_.address()).close();
        acceptor_.join();
        for (auto& thread : pumps_)
            thread.join();
    }

    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    std::string address() const { return socket_.address().toString(); }
    /** Number of reads from clients; a request takes one or more. */
    std::size_t client_reads() const { return client_reads_; }

    /** Sets the target of new connections, for a restarted process. */
    void set_target(const std::string& target)
    {
        const std::lock_guard guard(lock_);
        target_ = target;
    }

    /** Closes all connections and, until heal(), each new one at once. */
    void cut()
    {
        const std::lock_guard guard(lock_);
        cut_ = true;
        for (auto& open : connections_)
            open.shut_down();
        changed_.notify_all();
    }

    /** Holds data in this direction back until heal(); none is lost. */
    void stall(relay_direction direction)
    {
        const std::lock_guard guard(lock_);
        stalled_[static_cast<std::size_t>(direction)] = true;
    }

    /** Ends a cut and all stalls. */
    void heal()
    {
        const std::lock_guard guard(lock_);
        cut_ = false;
        stalled_ = {};
        changed_.notify_all();
    }

private:
    struct connection {
        Poco::Net::StreamSocket client;
        Poco::Net::StreamSocket target;
        bool ended = false;

        void shut_down()
        {
            ended = true;
            end(client);
            end(target);
        }

        static void end(Poco::Net::StreamSocket& socket)
        {
            try {
                socket.shutdown();
            } catch (const Poco::Exception&) {
                return; // the peer has closed the connection
            }
        }
    };

    void accept()
    {
        for (;;) {
            auto client = socket_.acceptConnection();
            const std::lock_guard guard(lock_);
            if (stopping_)
                return;
            if (!cut_)
                open(client);
        }
    }

    void open(const Poco::Net::StreamSocket& client)
    {
        try {
            const Poco::Net::StreamSocket target(
                (Poco::Net::SocketAddress(target_)));
            connections_.push_back({client, target});
        } catch (const Poco::Exception&) {
            return; // the target does not listen: the client is disconnected
        }
        auto& opened = connections_.back();
        pumps_.emplace_back([this, &opened] {
            pump(opened, opened.client, opened.target,
                 relay_direction::to_target);
        });
        pumps_.emplace_back([this, &opened] {
            pump(opened, opened.target, opened.client,
                 relay_direction::to_client);
        });
    }

    /** Copies data in one direction until the connection ends. */
    void pump(connection& opened, Poco::Net::StreamSocket& from,
              Poco::Net::StreamSocket& to, relay_direction direction)
    {
        std::array<char, 16384> piece{};
        try {
            for (;;) {
                const int count = from.receiveBytes(
                    piece.data(), static_cast<int>(piece.size()));
                if (direction == relay_direction::to_target && count > 0)
                    ++client_reads_;
                if (!wait_while_stalled(opened, direction))
                    return;
                if (count <= 0)
                    return to.shutdownSend();
                to.sendBytes(piece.data(), count);
            }
        } catch (const Poco::Exception&) {
            const std::lock_guard guard(lock_);
            opened.shut_down();
        }
    }

    /** Returns false if the connection has ended. */
    bool wait_while_stalled(const connection& opened, relay_direction direction)
    {
        std::unique_lock guard(lock_);
        changed_.wait(guard, [&] {
            return opened.ended ||
                   !stalled_[static_cast<std::size_t>(direction)];
        });
        return !opened.ended;
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::string target_;
    Poco::Net::ServerSocket socket_;
    std::list<connection> connections_;
    std::list<std::thread> pumps_;
    std::array<bool, 2> stalled_{};
    bool cut_ = false;
    bool stopping_ = false;
    std::atomic<std::size_t> client_reads_ = 0;
    std::thread acceptor_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_TCP_RELAY_HPP
