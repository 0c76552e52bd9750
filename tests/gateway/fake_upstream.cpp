#include "fake_upstream.hpp"

#include "http_text.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <array>
#include <chrono>
#include <memory>

namespace cyclamenrun::testing_support
{

namespace
{

constexpr std::chrono::seconds wait_timeout{10};
constexpr std::chrono::milliseconds wake_interval{1};

} // namespace

std::string event_text(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) +
           "\n\n";
}

void upstream_reply::send(const std::string& bytes)
{
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void upstream_reply::answer(const arrived_request& request, int status,
                            const std::string& body,
                            const std::string& more_fields)
{
    send("HTTP/1.1 " + std::to_string(status) +
         " X\r\nAttempt-Id: " + request.field("Attempt-Id") +
         "\r\nResponse-Seal: seal\r\n" + more_fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void upstream_reply::begin_stream(const arrived_request& request,
                                  const std::string& more_fields)
{
    send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
         "\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\n" +
         more_fields + "Transfer-Encoding: chunked\r\n\r\n");
}

void upstream_reply::begin_unframed(const arrived_request& request,
                                    const std::string& content_type)
{
    chunked_ = false;
    send("HTTP/1.1 200 OK\r\nAttempt-Id: " + request.field("Attempt-Id") +
         "\r\nResponse-Seal: seal\r\nContent-Type: " + content_type +
         "\r\nConnection: close\r\n\r\n");
}

void upstream_reply::event(int id)
{
    send(chunked_ ? chunk_text(event_text(id)) : event_text(id));
}

void upstream_reply::end_stream()
{
    if (chunked_)
        send("0\r\n\r\n");
    else
        close();
}

void upstream_reply::close()
{
    socket_.shutdown();
}

void upstream_reply::reset()
{
    socket_.setLinger(true, 0);
    socket_.close();
}

bool upstream_reply::wait_for_close()
{
    socket_.setReceiveTimeout(Poco::Timespan(10, 0));
    std::array<char, 256> bytes{};
    try {
        while (socket_.receiveBytes(bytes.data(), bytes.size()) > 0) {
        }
    } catch (const Poco::TimeoutException&) {
        return false;
    } catch (const Poco::Exception&) {
        return true; // by a reset
    }
    return true;
}

fake_upstream::fake_upstream(script respond, const std::string& host)
    : respond_(std::move(respond)),
      listener_(Poco::Net::SocketAddress(host, 0)),
      acceptor_([this] { accept(); })
{
}

fake_upstream::~fake_upstream()
{
    stopping_ = true;
    const bool is_accepting = accepts_.exchange(true);
    accepts_.notify_all();
    // Poco's listeners set SO_REUSEPORT, so another listener can share the port
    // and take a connection that was meant to wake the acceptor.
    while (!acceptor_ended_) {
        try {
            if (is_accepting)
                Poco::Net::StreamSocket(listener_.address()).close();
        } catch (const Poco::Exception&) {
            // Tries again: only a connection ends the acceptor.
        }
        std::this_thread::sleep_for(wake_interval);
    }
    acceptor_.join();
    {
        const std::scoped_lock lock(mutex_);
        for (auto& socket : sockets_) {
            try {
                socket.shutdown();
            } catch (const Poco::Exception&) {
                continue; // closed already
            }
        }
    }
    for (auto& thread : threads_)
        thread.join();
}

void fake_upstream::crash()
{
    if (crashed_.exchange(true))
        return;
    stop_listening();
    const std::scoped_lock lock(mutex_);
    for (auto& socket : sockets_)
        ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
}

void fake_upstream::stop_listening()
{
    ::shutdown(listener_.impl()->sockfd(), SHUT_RDWR);
}

void fake_upstream::keep_unserved(const Poco::Net::StreamSocket& socket)
{
    const std::scoped_lock lock(mutex_);
    queued_.push_back(socket);
}

void fake_upstream::fill_connection_queue()
{
    accepts_ = false;
    const Poco::Timespan timeout(0, 100'000);
    try {
        for (;;) {
            Poco::Net::StreamSocket socket;
            socket.connect(listener_.address(), timeout);
            keep_unserved(socket);
        }
    } catch (const Poco::TimeoutException&) {
        return; // the queue is full
    }
}

ip_endpoint fake_upstream::address() const
{
    const auto address = listener_.address();
    return {address.host().toString(), address.port()};
}

std::vector<arrived_request> fake_upstream::arrived() const
{
    const std::scoped_lock lock(mutex_);
    return arrived_;
}

std::vector<arrived_request> fake_upstream::wait_for(std::size_t count) const
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait_timeout,
                      [&] { return arrived_.size() >= count; });
    return arrived_;
}

void fake_upstream::accept()
{
    // One for each of threads_, true once it has served its connection.
    std::vector<std::shared_ptr<std::atomic<bool>>> served;
    // Sanitizers have room for a few thousand threads that are not joined.
    const auto join_served = [&] {
        for (std::size_t i = served.size(); i-- > 0;) {
            if (!*served[i])
                continue;
            threads_[i].join();
            const auto at = static_cast<std::ptrdiff_t>(i);
            threads_.erase(threads_.begin() + at);
            served.erase(served.begin() + at);
        }
    };
    try {
        while (!stopping_) {
            auto socket = listener_.acceptConnection();
            if (stopping_)
                break;
            if (!accepts_) {
                keep_unserved(socket);
                accepts_.wait(false);
                break;
            }
            socket.setNoDelay(true);
            join_served();
            const auto ended = std::make_shared<std::atomic<bool>>(false);
            const std::scoped_lock lock(mutex_);
            sockets_.push_back(socket);
            served.push_back(ended);
            threads_.emplace_back([this, socket, ended] {
                serve(socket);
                *ended = true;
            });
        }
    } catch (const Poco::Exception&) {
        // crash() has shut the listener down.
    }
    acceptor_ended_ = true;
}

void fake_upstream::serve(Poco::Net::StreamSocket socket)
{
    arrived_request request;
    http_reader reader(http_message_kind::request, {},
                       {[&](http_head&& head) { request.head = head; },
                        [&](std::string_view bytes) { request.body += bytes; },
                        {}});
    std::array<char, 4096> bytes{};
    try {
        while (!stopping_) {
            const auto count = socket.receiveBytes(bytes.data(), bytes.size());
            if (count <= 0 ||
                !reader.feed({bytes.data(), static_cast<std::size_t>(count)}))
                return;
            if (!reader.complete())
                continue;
            upstream_reply reply(socket);
            if (rejects_load_requests && request.head.target == "/report") {
                reply.answer(request, 404, "");
            } else {
                {
                    const std::scoped_lock lock(mutex_);
                    arrived_.push_back(request);
                }
                changed_.notify_all();
                respond_(request, reply);
            }
            request = {};
            (void)reader.next_message();
        }
    } catch (const Poco::Exception&) {
        return; // the peer closed the connection
    }
}

} // namespace cyclamenrun::testing_support
