#include "../support/child_process.hpp"
#include "clock.hpp"
#include "exit_code.hpp"
#include "ip_endpoint.hpp"
#include "key_hash.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/TemporaryFile.h>
#include <fstream>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenrun
{
namespace
{

using testing::HasSubstr;
using testing_support::child_process;

/** Settings of an entry with four threads and an unreachable platform. */
class entry_program : public testing::Test
{
protected:
    entry_program()
    {
        std::ofstream(settings.path())
            << "name = 'e'\nregion = 'r'\nfailure_domain = 'd'\n"
               "link_key = '0123456789abcdef0123456789abcdef'\n"
               "listen = '127.0.0.1:0'\noperator_listen = '127.0.0.1:0'\n"
            << "operator_keys = ['" << to_string(make_key_hash(make_key()))
            << "']\nplatform.address = '127.0.0.1:1'\n"
               "[limits]\nthreads = 4\nwrite_timeout_ms = 200\n"
               "request_timeout_ms = 1000\n";
    }

    Poco::TemporaryFile settings;
};

/** Sends requests without reading answers until the entry reads no more. */
Poco::Net::StreamSocket send_without_reading(const ip_endpoint& entry)
{
    Poco::Net::StreamSocket socket;
    socket.connect({entry.host, entry.port});
    socket.setReceiveBufferSize(4096);
    socket.setSendTimeout(Poco::Timespan(0, 100000));
    std::string requests;
    for (int count = 0; count < 1000; ++count)
        requests += "GET /healthz HTTP/1.1\r\nHost: e\r\n\r\n";
    try {
        for (;;)
            socket.sendBytes(requests.data(),
                             static_cast<int>(requests.size()));
    } catch (const Poco::Exception&) {
        // The buffers of both directions are full, or the entry has closed the
        // connection.
        return socket;
    }
}

void send_byte(Poco::Net::StreamSocket& caller)
{
    try {
        caller.sendBytes("G", 1);
    } catch (const Poco::Exception&) {
        // The entry has closed the connection.
    }
}

/** Returns the status of the answer to a health check. */
int health_status(const ip_endpoint& entry)
{
    Poco::Net::HTTPClientSession session(entry.host, entry.port);
    session.setTimeout(Poco::Timespan(20, 0));
    Poco::Net::HTTPRequest request("GET", "/healthz", "HTTP/1.1");
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    session.receiveResponse(response);
    return response.getStatus();
}

// Guards against an idle entry that serves no requests: callers that keep their
// connections open and stop reading each block a thread in a write
// indefinitely, until no thread is free.
TEST_F(entry_program, callers_that_stop_reading_do_not_occupy_threads)
{
    child_process entry("cyclamenrun-entry", {"--settings", settings.path()});
    const auto address = parse_ip_endpoint(entry.wait_until_ready());
    ASSERT_TRUE(address);
    std::vector<Poco::Net::StreamSocket> stalled;
    stalled.reserve(4);
    for (int count = 0; count < 4; ++count)
        stalled.push_back(send_without_reading(*address));
    EXPECT_EQ(health_status(*address), 200);
}

// Guards against an idle entry that serves no requests: callers that send their
// requests byte by byte each occupy a thread indefinitely, since each
// byte arrives before the timeout of a read.
TEST_F(entry_program, callers_that_send_byte_by_byte_do_not_occupy_threads)
{
    child_process entry("cyclamenrun-entry", {"--settings", settings.path()});
    const auto address = parse_ip_endpoint(entry.wait_until_ready());
    ASSERT_TRUE(address);
    std::vector<Poco::Net::StreamSocket> callers(4);
    for (auto& caller : callers)
        caller.connect({address->host, address->port});
    // Threads are assigned to connections in order of arrival, so the next
    // connection waits until one of these has ended.
    const std::jthread slow([&](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            for (auto& caller : callers)
                send_byte(caller);
            std::this_thread::sleep_for(milliseconds(100));
        }
    });
    EXPECT_EQ(health_status(*address), 200);
}

TEST_F(entry_program, check_reports_all_errors_and_defaults_can_be_printed)
{
    std::ofstream(settings.path(), std::ios::app) << "thraeds = 9\n";
    child_process check("cyclamenrun-entry",
                        {"--check", "--settings", settings.path()});
    const auto status = check.wait();
    EXPECT_EQ(status, to_status(exit_code::settings));
    EXPECT_THAT(check.errors(), HasSubstr(":13: limits.thraeds: unknown key"));
    child_process defaults("cyclamenrun-entry", {"--print-defaults"});
    EXPECT_THAT(defaults.read_line(std::chrono::milliseconds(20000)).value(),
                HasSubstr("Name of this process"));
}

} // namespace
} // namespace cyclamenrun
