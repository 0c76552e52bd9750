#include "deployment.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;

/** A caller that keeps its connection to an entry that stops. */
class entry_stops : public ::testing::Test
{
protected:
    entry_stops()
    {
        system.add_model("redactor-1", {"--step-ms", "10"});
        system.add_runner("registro-1", {"--delay-ms", "300"});
        system.add_entry("entry-1");
        system.wait_until_ready();
        caller.connect(Poco::Net::SocketAddress(system.entry(0).address));
        caller.setReceiveTimeout(Poco::Timespan(20, 0));
    }

    void send(const std::string& path, const std::string& body)
    {
        const auto request = system.caller_request("POST", path, body);
        auto text =
            "POST " + path +
            " HTTP/1.1\r\nHost: e\r\nContent-Type: " + request.content_type +
            "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto& [name, value] : request.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        text += "\r\n" + body;
        caller.sendBytes(text.data(), static_cast<int>(text.size()));
    }

    void send_call()
    {
        send("/v1/services/" +
                 std::string(testing_support::application_service) + "/calls",
             R"({"sample":"S-17","line":4})");
    }

    /** Reads until the text, or until the connection ends. */
    std::string read_until(const std::string& text)
    {
        std::string read;
        std::array<char, 4096> piece{};
        try {
            int count = 1;
            while (count > 0 && read.find(text) == std::string::npos) {
                count = caller.receiveBytes(piece.data(), piece.size());
                read.append(piece.data(), static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception&) {
            return read;
        }
        return read;
    }

    void stop()
    {
        system.entry(0).process->signal(SIGTERM);
        EXPECT_TRUE(testing_support::wait_until([this] {
            return system.entry(0).process->output().find("drain_started") !=
                   std::string::npos;
        }));
    }

    deployment system;
    Poco::Net::StreamSocket caller;
};

// Guards against a request on a connection that is about to end: the answer
// before it says nothing of the stop.
TEST_F(entry_stops, announce_the_end_of_the_connection)
{
    send_call();
    system.wait_for_event("run");
    stop();
    const auto answer = read_until("\r\n\r\n");
    EXPECT_NE(answer.find("200"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: Close"), std::string::npos) << answer;
    EXPECT_EQ(system.entry(0).process->wait(), 0);
}

// Guards against a lost request: it follows a stream whose head went out
// before the stop, and the process has ended with the stream.
TEST_F(entry_stops, answer_the_request_after_a_stream_that_ends_in_them)
{
    send("/v1/completions", R"({"model":"redactor","prompt":"p","stream":true,)"
                            R"("stand_in":{"output_tokens":100}})");
    EXPECT_NE(read_until("data:").find("200"), std::string::npos);
    stop();
    EXPECT_NE(read_until("\r\n0\r\n\r\n"), "");
    std::this_thread::sleep_for(milliseconds(200));
    send_call();
    const auto answer = read_until("\r\n\r\n");
    EXPECT_NE(answer.find("503"), std::string::npos) << answer;
    EXPECT_NE(answer.find("Connection: Close"), std::string::npos) << answer;
    EXPECT_EQ(system.entry(0).process->wait(), 0);
}

// Guards against a stop that lasts until its deadline: callers that are refused
// come back at once.
TEST_F(entry_stops, end_while_refused_callers_return)
{
    std::atomic<bool> ended = false;
    std::thread returning([&] {
        const auto until = steady_now() + std::chrono::seconds(20);
        while (!ended && steady_now() < until) {
            try {
                Poco::Net::StreamSocket socket(
                    Poco::Net::SocketAddress(system.entry(0).address));
                const std::string text = "GET /x HTTP/1.1\r\nHost: e\r\n\r\n";
                socket.sendBytes(text.data(), static_cast<int>(text.size()));
                std::array<char, 4096> answer{};
                socket.receiveBytes(answer.data(), answer.size());
            } catch (const Poco::Exception&) {
                std::this_thread::sleep_for(milliseconds(10));
            }
        }
    });
    stop();
    const auto stopped = steady_now();
    EXPECT_EQ(system.entry(0).process->wait(), 0);
    EXPECT_LT(steady_now() - stopped, std::chrono::seconds(10));
    ended = true;
    returning.join();
}

} // namespace
} // namespace cyclamenrun
