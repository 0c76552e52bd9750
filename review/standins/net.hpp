#ifndef REVIEW_NET_HPP
#define REVIEW_NET_HPP

// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using ms = std::chrono::milliseconds;

inline void sleep_ms(int milliseconds)
{
    std::this_thread::sleep_for(ms(milliseconds));
}

struct endpoint {
    std::string host;
    std::uint16_t port = 0;

    std::string text() const { return host + ":" + std::to_string(port); }
    sockaddr_in native() const
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        return address;
    }
};

inline void reset_on_close(int socket)
{
    const linger option{1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

inline std::string lower(std::string text)
{
    for (auto& letter : text)
        letter = static_cast<char>(std::tolower(letter));
    return text;
}

/** One HTTP message, a request or a response. */
struct message {
    std::string method;
    std::string target;
    int status = 0;
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;
    bool whole = false; ///< the end that the framing announced has arrived

    std::string field(const std::string& name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? std::string() : found->second;
    }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(const std::string& name) const
    {
        const auto mark = target.find('?');
        if (mark == std::string::npos)
            return {};
        std::string rest = target.substr(mark + 1);
        while (!rest.empty()) {
            const auto end = std::min(rest.find('&'), rest.size());
            const auto part = rest.substr(0, end);
            if (part.starts_with(name + "="))
                return part.substr(name.size() + 1);
            rest.erase(0, end + 1);
        }
        return {};
    }
};

/** A connected socket with a read buffer. */
class connection
{
public:
    explicit connection(int socket) : socket_(socket)
    {
        const int on = 1;
        ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(socket_, bytes.data() + sent,
                                      bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }
    /** Reads a message; empty if the connection ended before its head did. */
    std::optional<message> read(bool response,
                                const std::function<void(std::size_t)>&
                                    on_body = {})
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (!fill())
                return std::nullopt;
        message result = parse_head(buffer_.substr(0, end + 2), response);
        buffer_.erase(0, end + 4);
        read_body(result, response, on_body);
        return result;
    }
    /** True if the peer has closed or reset, as far as is known by now. */
    bool peer_gone()
    {
        pollfd state{socket_, POLLIN, 0};
        if (::poll(&state, 1, 0) <= 0)
            return false;
        if ((state.revents & (POLLERR | POLLHUP)) != 0)
            return true;
        char byte = 0;
        return ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    }
    void close()
    {
        const std::scoped_lock lock(mutex_);
        if (socket_ >= 0)
            ::close(socket_);
        socket_ = -1;
    }
    void reset()
    {
        const std::scoped_lock lock(mutex_);
        if (socket_ >= 0)
            reset_on_close(socket_);
        if (socket_ >= 0)
            ::close(socket_);
        socket_ = -1;
    }
    /** Ends both directions from another thread; the owner still closes it. */
    void interrupt(bool by_reset)
    {
        const std::scoped_lock lock(mutex_);
        if (socket_ < 0)
            return;
        if (by_reset)
            reset_on_close(socket_);
        interrupted_ = true;
        ::shutdown(socket_, SHUT_RDWR);
    }
    bool interrupted() const { return interrupted_; }

private:
    bool fill()
    {
        char bytes[65536];
        const auto count = ::recv(socket_, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    static message parse_head(const std::string& text, bool response)
    {
        message result;
        const auto first_end = text.find("\r\n");
        const auto first = text.substr(0, first_end);
        if (response) {
            result.status = std::atoi(first.substr(9, 3).c_str());
        } else {
            const auto space = first.find(' ');
            const auto second = first.find(' ', space + 1);
            result.method = first.substr(0, space);
            result.target = first.substr(space + 1, second - space - 1);
        }
        std::size_t at = first_end + 2;
        while (at < text.size()) {
            const auto line_end = text.find("\r\n", at);
            const auto line = text.substr(at, line_end - at);
            const auto colon = line.find(':');
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            result.fields[lower(line.substr(0, colon))] = value;
            at = line_end + 2;
        }
        return result;
    }
    bool need(std::size_t bytes)
    {
        while (buffer_.size() < bytes)
            if (!fill())
                return false;
        return true;
    }
    void read_body(message& into, bool response,
                   const std::function<void(std::size_t)>& on_body)
    {
        if (lower(into.field("Transfer-Encoding")) == "chunked") {
            for (;;) {
                std::size_t end = 0;
                while ((end = buffer_.find("\r\n")) == std::string::npos)
                    if (!fill())
                        return;
                const auto size = std::strtoul(buffer_.c_str(), nullptr, 16);
                buffer_.erase(0, end + 2);
                if (!need(size + 2))
                    return;
                into.body += buffer_.substr(0, size);
                buffer_.erase(0, size + 2);
                if (size == 0)
                    break;
                if (on_body)
                    on_body(into.body.size());
            }
            into.whole = true;
            return;
        }
        const auto length = into.field("Content-Length");
        if (length.empty() && response && into.status != 204) {
            while (fill()) {
            }
            into.body = std::exchange(buffer_, {});
            into.whole = true; // no framing tells otherwise
            return;
        }
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        if (!need(size)) {
            into.body = buffer_;
            return;
        }
        into.body = buffer_.substr(0, size);
        buffer_.erase(0, size);
        into.whole = true;
    }

    int socket_;
    std::string buffer_;
    std::mutex mutex_;
    std::atomic<bool> interrupted_ = false;
};

/** Connects; null if that fails within two seconds. */
inline std::unique_ptr<connection> connect_to(const endpoint& peer)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = peer.native();
    const timeval limit{2, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<connection>(socket);
}

/** A server with a thread for each connection. */
class server
{
public:
    /** Serves one request; returns false if the connection shall be closed. */
    using handler = std::function<bool(const message&, connection&)>;

    server(const endpoint& address, handler serve)
        : address_(address), serve_(std::move(serve))
    {
        open();
    }
    ~server()
    {
        stop(false);
        std::list<std::thread> threads;
        {
            const std::scoped_lock lock(mutex_);
            threads.swap(threads_);
        }
        for (auto& each : threads)
            each.join();
    }
    const endpoint& address() const { return address_; }

    /** Ends as a process that is gone: no listener, no connections. */
    void stop(bool by_reset)
    {
        if (stopping_.exchange(true))
            return;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        const std::scoped_lock lock(mutex_);
        for (const auto& weak : connections_)
            if (const auto open = weak.lock())
                open->interrupt(by_reset);
    }
    bool stopped() const { return stopping_; }

private:
    void open()
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto native = address_.native();
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&native),
                   sizeof native) != 0 ||
            ::listen(listener_, 256) != 0)
            throw std::runtime_error("cannot listen on " + address_.text());
        acceptor_ = std::thread([this] { accept(); });
    }
    void accept()
    {
        while (!stopping_) {
            const int socket = ::accept(listener_, nullptr, nullptr);
            if (socket < 0)
                continue;
            auto accepted = std::make_shared<connection>(socket);
            const std::scoped_lock lock(mutex_);
            connections_.push_back(accepted);
            threads_.emplace_back([this, accepted] {
                while (!stopping_) {
                    const auto request = accepted->read(false);
                    if (!request || !request->whole ||
                        !serve_(*request, *accepted))
                        break;
                }
                accepted->close();
            });
        }
    }

    endpoint address_;
    handler serve_;
    int listener_ = -1;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::vector<std::weak_ptr<connection>> connections_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

inline std::string response_text(int status, const std::string& fields,
                                 const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& bytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace review

#endif
