#ifndef CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP
#define CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP

#include "http_reader.hpp"
#include "ip_endpoint.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenrun::testing_support
{

/** A request that an upstream received. */
struct arrived_request {
    http_head head;
    std::string body;

    std::string field(const std::string& name) const
    {
        return std::string(head.find(name).value_or(""));
    }
};

/** Lets an upstream's script answer one request. */
class upstream_reply
{
public:
    explicit upstream_reply(Poco::Net::StreamSocket& socket) : socket_(socket)
    {
    }

    void send(const std::string& bytes);
    /** Sends a whole answer with the header fields that upstreams set. */
    void answer(const arrived_request& request, int status,
                const std::string& body, const std::string& more_fields = "");
    /** Rejects the request with a 503 that asks for rest. */
    void ask_for_rest(const arrived_request& request, const std::string& rest)
    {
        answer(request, 503, "resting",
               "Not-Executed: 1\r\nRetry-After: " + rest + "\r\n");
    }
    /** Sends the head of an event stream in chunks. */
    void begin_stream(const arrived_request& request,
                      const std::string& more_fields = "");
    /**
     * Sends a head without framing fields: the answer ends with the
     * connection.
     */
    void begin_unframed(const arrived_request& request,
                        const std::string& content_type = "text/event-stream");
    void event(int id);
    /** Ends the stream as its framing does. */
    void end_stream();
    void close();
    /** Closes the connection with a TCP reset. */
    void reset();
    /** Waits until the peer closes; returns false after ten seconds. */
    bool wait_for_close();

private:
    Poco::Net::StreamSocket& socket_;
    bool chunked_ = true;
};

/** An upstream that answers by a script, with one thread per connection. */
class fake_upstream
{
public:
    using script = std::function<void(const arrived_request&, upstream_reply&)>;

    /** Listens on `host`, a loopback address. */
    explicit fake_upstream(script respond,
                           const std::string& host = "127.0.0.1");
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;
    ~fake_upstream();

    /**
     * If set, load requests get a 404 answer and don't reach the script or
     * `arrived`.
     */
    std::atomic<bool> rejects_load_requests = false;

    /**
     * Ends as a crashed process does: closes all connections, and the host
     * refuses new ones.
     */
    void crash();
    bool crashed() const { return crashed_; }
    /** Refuses new connections, as a process does that is about to end. */
    void stop_listening();
    /**
     * Keeps new connections from being established, as a process does that
     * accepts none and whose queue of connections is full. The upstream accepts
     * no connection any more.
     */
    void fill_connection_queue();
    /** Number of connections accepted so far. */
    std::size_t connections() const
    {
        const std::scoped_lock lock(mutex_);
        return sockets_.size();
    }

    ip_endpoint address() const;
    std::vector<arrived_request> arrived() const;
    /** Waits until `count` requests have arrived, at most ten seconds. */
    std::vector<arrived_request> wait_for(std::size_t count) const;

private:
    void accept();
    /** Keeps a connection open that nobody serves. */
    void keep_unserved(const Poco::Net::StreamSocket& socket);
    void serve(Poco::Net::StreamSocket socket);

    script respond_;
    Poco::Net::ServerSocket listener_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<arrived_request> arrived_;
    std::vector<Poco::Net::StreamSocket> sockets_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> crashed_ = false;
    std::atomic<bool> acceptor_ended_ = false;
    std::atomic<bool> accepts_ = true;
    std::vector<Poco::Net::StreamSocket> queued_; ///< under mutex_
    std::thread acceptor_;
};

/** Field by which an upstream says that it leaves. */
inline const std::string leaving_field = "Server-Leaving: 1\r\n";

/** Returns an event as upstreams send it. */
std::string event_text(int id);

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP
