#include "http_caller_writer.hpp"
#include "http_write_timeout.hpp"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenrun
{
namespace
{

constexpr std::size_t large_body_bytes = std::size_t(24) << 20;
constexpr milliseconds write_timeout{200};

/** Passes on an answer of `bytes` that nothing shows to be whole. */
class unconfirmed_answer : public Poco::Net::HTTPRequestHandler
{
public:
    unconfirmed_answer(std::size_t bytes, std::atomic<int>& written)
        : bytes_(bytes), written_(written)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        {
            const http_write_timeout limit(request, response, write_timeout);
            http_caller_writer writer(request, response,
                                      {"r1", "app", {}, false});
            write_answer answer;
            answer.answer.status = 200;
            answer.answer.content_type = "text/plain";
            answer.answer.body = std::string(bytes_, 'x');
            answer.answer.confirmed_whole = false;
            (void)writer.answer(answer);
        }
        ++written_;
    }

private:
    std::size_t bytes_;
    std::atomic<int>& written_;
};

class answer_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    answer_factory(std::size_t bytes, std::atomic<int>& written)
        : bytes_(bytes), written_(written)
    {
    }

    Poco::Net::HTTPRequestHandler*
    createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new unconfirmed_answer(bytes_, written_);
    }

private:
    std::size_t bytes_;
    std::atomic<int>& written_;
};

/** Callers of an entry whose answers end with their connection. */
class unconfirmed_answers : public testing::Test
{
protected:
    /** Sends a request to a server whose answer has `bytes`. */
    Poco::Net::StreamSocket send_request(std::size_t bytes)
    {
        const Poco::Net::ServerSocket socket(
            Poco::Net::SocketAddress("127.0.0.1", 0));
        server = std::make_unique<Poco::Net::HTTPServer>(
            new answer_factory(bytes, written), socket,
            new Poco::Net::HTTPServerParams);
        server->start();
        Poco::Net::StreamSocket caller(socket.address().family());
        caller.setReceiveBufferSize(4096);
        caller.connect(socket.address());
        caller.setReceiveTimeout(Poco::Timespan(10, 0));
        const std::string text = "GET / HTTP/1.1\r\nHost: e\r\n\r\n";
        caller.sendBytes(text.data(), static_cast<int>(text.size()));
        return caller;
    }

    void wait_until_written() const
    {
        while (written == 0)
            std::this_thread::sleep_for(milliseconds(5));
    }

    /** Reads to the end; returns whether that was an orderly one. */
    static bool read_to_end(Poco::Net::StreamSocket& caller, std::string& got)
    {
        std::array<char, 65536> piece{};
        try {
            int count = 0;
            while ((count = caller.receiveBytes(piece.data(), piece.size())) >
                   0)
                got.append(piece.data(), static_cast<std::size_t>(count));
            return true;
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    std::atomic<int> written = 0;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

// Guards against a part of an answer that looks whole: the entry gives up a
// caller that does not read.
TEST_F(unconfirmed_answers, are_reset_when_the_caller_reads_too_slowly)
{
    auto caller = send_request(large_body_bytes);
    wait_until_written();
    std::string got;
    EXPECT_FALSE(read_to_end(caller, got));
    EXPECT_LT(got.size(), large_body_bytes);
}

TEST_F(unconfirmed_answers, end_in_an_orderly_way_when_written_to_their_end)
{
    constexpr std::size_t body_bytes = 100000;
    auto caller = send_request(body_bytes);
    wait_until_written();
    std::string got;
    EXPECT_TRUE(read_to_end(caller, got));
    EXPECT_TRUE(got.ends_with(std::string(body_bytes, 'x')));
}

} // namespace
} // namespace cyclamenrun
