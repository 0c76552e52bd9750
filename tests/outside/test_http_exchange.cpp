#include "../support/scripted_server.hpp"
#include "cancellation.hpp"
#include "http_exchange.hpp"

#include <future>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <thread>
#include <utility>

namespace cyclamenrun
{
namespace
{

using testing_support::scripted_server;

constexpr milliseconds long_limit(20000);
constexpr milliseconds short_limit(150);

tl::expected<http_answer, http_error>
send_request(const std::string& address, milliseconds limit = long_limit,
             exchange_limits limits = {}, cancellation* cancel = nullptr)
{
    http_exchange exchange(address, std::move(limits), steady_now);
    return exchange.run(
        {"POST", "/x", "text/plain", "body", {}, steady_now() + limit}, cancel);
}

/** Runs an exchange with a server that sends `reply` and closes. */
tl::expected<http_answer, http_error>
exchange_with_reply(const std::string& reply, exchange_limits limits = {})
{
    const scripted_server server(scripted_server::reply(reply));
    return send_request(server.address(), long_limit, std::move(limits));
}

struct bad_answer {
    std::string reply;
    http_failure failure;
};

TEST(http_exchange, reads_answers_with_length_or_chunks)
{
    const auto sized =
        exchange_with_reply("HTTP/1.1 409 Conflict\r\nX-Engine-Epoch: 7\r\n"
                            "Content-Length: 3\r\n\r\nabc");
    ASSERT_TRUE(sized);
    EXPECT_EQ(sized->head.status, 409);
    EXPECT_EQ(sized->head.headers.at("x-engine-epoch"), "7");
    EXPECT_EQ(sized->body, "abc");
    const auto chunked =
        exchange_with_reply("HTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    ASSERT_TRUE(chunked);
    EXPECT_EQ(chunked->body, "abcde");
}

// Guards against passing on a truncated answer as complete. When an upstream
// dies in the middle of an answer, the closed connection looks like the end of
// the body.
TEST(http_exchange, an_incomplete_answer_gives_a_typed_error)
{
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<bad_answer> cases{
        {"", http_failure::lost_before_answer},
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc",
         http_failure::lost_mid_answer},
        {chunked + "3\r\nabc\r\n", http_failure::lost_mid_answer},
        {chunked + "3\r\nab", http_failure::lost_mid_answer},
        {chunked + "3\r\nabc\r\nzz\r\n", http_failure::lost_mid_answer},
        {"HTTP/1.1 200 OK\r\n\r\nabc", http_failure::lost_mid_answer},
        {"SSH-2.0 who are you\r\n\r\n", http_failure::malformed},
    };
    for (const auto& [reply, failure] : cases) {
        const auto answer = exchange_with_reply(reply);
        ASSERT_FALSE(answer) << reply;
        EXPECT_EQ(answer.error().failure, failure) << reply;
        EXPECT_TRUE(answer.error().may_have_run) << reply;
    }
}

// Guards against an empty answer that counts: the sender has stopped in the
// middle of the head, so that no length is known.
TEST(http_exchange, an_answer_that_ends_in_its_head_is_lost)
{
    for (const std::string head :
         {"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-A: b\r\n"
          "Content-Length: 400\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n"}) {
        for (std::size_t length = 0; length < head.size(); ++length) {
            const scripted_server server(
                scripted_server::reply(head.substr(0, length)));
            http_exchange exchange(server.address(), {}, steady_now);
            http_request sent{"POST", "/x", "text/plain",
                              "body", {},   steady_now() + long_limit};
            sent.accepts_unframed = true;
            const auto answer = exchange.run(sent);
            ASSERT_FALSE(answer) << head.substr(0, length);
            EXPECT_TRUE(answer.error().may_have_run);
        }
    }
}

// Guards against a part of an answer that counts as whole: the sender has
// stopped in a chunk, between two, or in the trailer.
TEST(http_exchange, a_chunked_answer_that_ends_at_any_byte_is_lost)
{
    const std::string head =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body :
         {"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
          "3;x=y\r\nabc\r\n0\r\nX-A: b\r\nX-B: c\r\n\r\n",
          "a\r\n0\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n"}) {
        EXPECT_TRUE(exchange_with_reply(head + body)) << body;
        for (std::size_t length = 0; length < body.size(); ++length) {
            const scripted_server server(
                scripted_server::reply(head + body.substr(0, length)));
            http_exchange exchange(server.address(), {}, steady_now);
            const auto answer = exchange.run(
                {"POST", "/x", "", "", {}, steady_now() + long_limit, true});
            ASSERT_FALSE(answer) << body.substr(0, length);
            EXPECT_TRUE(answer.error().may_have_run);
        }
    }
}

// Guards against a part of an answer that counts as whole: an invalid chunk
// size is taken for the last chunk.
TEST(http_exchange, an_answer_with_an_invalid_chunk_size_is_lost)
{
    for (const std::string size : {"zz0", "-0", " 0", "", "0x0", "g"}) {
        const auto answer = exchange_with_reply(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n" +
            size + "\r\n0\r\n\r\n");
        EXPECT_FALSE(answer) << size;
        const auto last = exchange_with_reply(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n" +
            size + "\r\n\r\n");
        EXPECT_FALSE(last) << size;
    }
}

// Guards against a lost answer, and against one that claims to be whole: an
// answer without framing is accepted on request, as unconfirmed.
TEST(http_exchange, an_answer_without_framing_is_unconfirmed)
{
    const scripted_server server(
        scripted_server::reply("HTTP/1.1 200 OK\r\n\r\nabc"));
    http_exchange exchange(server.address(), {}, steady_now);
    const auto answer = exchange.run(
        {"POST", "/x", "", "", {}, steady_now() + long_limit, true});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, "abc");
    EXPECT_EQ(answer->integrity, answer_integrity::unconfirmed);
}

// Guards against a truncated answer that is accepted: a reset is no end, and a
// framing that is cut short is no answer without framing.
TEST(http_exchange, a_broken_answer_is_lost_also_where_no_framing_is_accepted)
{
    const scripted_server resets([](Poco::Net::StreamSocket& connection) {
        scripted_server::receive_request(connection);
        scripted_server::send(connection, "HTTP/1.1 200 OK\r\n\r\nabc");
        connection.setLinger(true, 0);
        connection.close();
    });
    const scripted_server truncates(scripted_server::reply(
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"));
    for (const auto* server : {&resets, &truncates}) {
        http_exchange exchange(server->address(), {}, steady_now);
        EXPECT_FALSE(exchange.run(
            {"POST", "/x", "", "", {}, steady_now() + long_limit, true}));
    }
}

TEST(http_exchange, a_request_on_a_refused_connection_has_not_run)
{
    std::string address;
    {
        const scripted_server closed(scripted_server::reply(""));
        address = closed.address();
    }
    const auto answer = send_request(address);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().failure, http_failure::connect_failed);
    EXPECT_FALSE(answer.error().may_have_run);
}

TEST(http_exchange, headers_and_bodies_are_bounded)
{
    std::string many = "HTTP/1.1 200 OK\r\n";
    for (int field = 0; field < 200; ++field)
        many += "X-Field-" + std::to_string(field) + ": x\r\n";
    const auto headers =
        exchange_with_reply(many + "Content-Length: 0\r\n\r\n");
    ASSERT_FALSE(headers);
    EXPECT_EQ(headers.error().failure, http_failure::malformed);
    exchange_limits limits;
    limits.max_answer_bytes = 1000;
    const auto body =
        exchange_with_reply("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
                                std::string(2000, 'x'),
                            limits);
    ASSERT_FALSE(body);
    EXPECT_EQ(body.error().failure, http_failure::too_large);
}

// Guards against a call that never ends. An upstream that keeps sending single
// bytes never reaches a timeout that applies to each read.
TEST(http_exchange, a_slow_answer_ends_at_the_deadline)
{
    const scripted_server server([](Poco::Net::StreamSocket& connection) {
        scripted_server::receive_request(connection);
        scripted_server::send(
            connection, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n");
        for (;;) {
            scripted_server::send(connection, "x");
            std::this_thread::sleep_for(milliseconds(5));
        }
    });
    const auto answer = send_request(server.address(), short_limit);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().failure, http_failure::timed_out);
}

TEST(http_exchange, a_response_timeout_ends_a_call_before_its_deadline)
{
    const scripted_server server(scripted_server::wait_for_close);
    exchange_limits limits;
    limits.response_timeout = short_limit;
    const auto answer = send_request(server.address(), long_limit, limits);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().failure, http_failure::timed_out);
}

TEST(http_exchange, another_thread_can_cancel_a_waiting_call)
{
    std::promise<void> waiting;
    const scripted_server server([&](Poco::Net::StreamSocket& connection) {
        scripted_server::receive_request(connection);
        waiting.set_value();
        scripted_server::wait_for_close(connection);
    });
    cancellation cancel;
    std::thread other([&] {
        waiting.get_future().wait();
        cancel.cancel();
    });
    const auto answer = send_request(server.address(), long_limit, {}, &cancel);
    other.join();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().failure, http_failure::cancelled);
    const auto later = send_request(server.address(), long_limit, {}, &cancel);
    ASSERT_FALSE(later);
    EXPECT_FALSE(later.error().may_have_run);
}

// Guards against a part of an answer that counts as unconfirmed: the process
// itself has ended its connection.
TEST(http_exchange, a_cancelled_answer_without_framing_is_no_answer)
{
    std::promise<void> begun;
    const scripted_server server([&](Poco::Net::StreamSocket& connection) {
        scripted_server::receive_request(connection);
        scripted_server::send(connection, "HTTP/1.1 200 OK\r\n\r\nabc");
        begun.set_value();
        scripted_server::wait_for_close(connection);
    });
    cancellation cancel;
    std::thread other([&] {
        begun.get_future().wait();
        cancel.cancel();
    });
    http_exchange exchange(server.address(), {}, steady_now);
    const auto answer = exchange.run(
        {"POST", "/x", "", "", {}, steady_now() + long_limit, true}, &cancel);
    other.join();
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().failure, http_failure::cancelled);
}

// Guards against a process that stops late: if the end of one call detached
// another call from their common cancellation, cancelling would not wake the
// other call, and its thread would wait until its deadline.
TEST(http_exchange, one_cancellation_ends_all_calls_under_it)
{
    std::promise<void> waiting;
    const scripted_server slow([&](Poco::Net::StreamSocket& connection) {
        scripted_server::receive_request(connection);
        waiting.set_value();
        scripted_server::wait_for_close(connection);
    });
    const scripted_server quick(
        scripted_server::reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    cancellation cancel;
    std::thread other([&] {
        waiting.get_future().wait();
        EXPECT_TRUE(send_request(quick.address(), long_limit, {}, &cancel));
        cancel.cancel();
    });
    const auto deadline = steady_now() + long_limit;
    const auto answer = send_request(slow.address(), long_limit, {}, &cancel);
    other.join();
    ASSERT_FALSE(answer);
    EXPECT_LT(steady_now(), deadline);
    EXPECT_EQ(answer.error().failure, http_failure::cancelled);
}

TEST(http_exchange, arbitrary_answer_bytes_give_an_answer_or_typed_error)
{
    scripted_server server;
    EXPECT_TRUE(rc::check([&](const std::string& bytes, bool with_head) {
        server.set_reply(with_head ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                     "chunked\r\n\r\n" +
                                         bytes
                                   : bytes);
        const auto answer = send_request(server.address());
        if (!answer)
            RC_ASSERT(answer.error().failure != http_failure::timed_out);
    }));
}

} // namespace
} // namespace cyclamenrun
