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

/** A request that an upstream got. */
struct arrived_request {
    http_head head;
    std::string body;

    std::string field(const std::string& name) const
    {
        return std::string(head.find(name).value_or(""));
    }
};

/** What an upstream's script does with one request. */
class upstream_reply
{
public:
    explicit upstream_reply(Poco::Net::StreamSocket& socket) : socket_(socket)
    {
    }

    void send(const std::string& bytes);
    /** A whole answer with the fields that upstreams give. */
    void answer(const arrived_request& request, int status,
                const std::string& body, const std::string& more_fields = "");
    /** The head of a stream of events. */
    void begin_stream(const arrived_request& request);
    void event(int id);
    void end_stream() { send("0\r\n\r\n"); }
    /** Ends the connection in good order, or by a reset. */
    void close();
    void reset();
    /** Waits until the other side closes; false after ten seconds. */
    bool wait_for_close();

private:
    Poco::Net::StreamSocket& socket_;
};

/** An upstream whose behaviour a script decides; a thread a connection. */
class fake_upstream
{
public:
    using script = std::function<void(const arrived_request&, upstream_reply&)>;

    /** Listens on `host`, one of loopback's. */
    explicit fake_upstream(script play, const std::string& host = "127.0.0.1");
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;
    ~fake_upstream();

    /** Questions for its load are answered for the script, and not counted. */
    std::atomic<bool> tells_no_load = false;

    ip_endpoint address() const;
    std::vector<arrived_request> arrived() const;
    /** Waits until so many requests have arrived. */
    std::vector<arrived_request> wait_for(std::size_t count) const;

private:
    void accept();
    void serve(Poco::Net::StreamSocket socket);

    script play_;
    Poco::Net::ServerSocket listener_;
    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::vector<arrived_request> arrived_;
    std::vector<Poco::Net::StreamSocket> sockets_;
    std::vector<std::thread> threads_;
    std::atomic<bool> stopping_ = false;
    std::thread acceptor_;
};

/** An event as upstreams send it. */
std::string event_text(int id);

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP
