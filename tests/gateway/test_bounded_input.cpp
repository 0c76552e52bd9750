#include "flooded_gateway.hpp"

#include <gmock/gmock.h>
#include <numeric>

namespace cyclamenrun::testing_support
{
namespace
{

using testing::Each;
using testing::HasSubstr;

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::vector<unsigned> statuses_of(const std::vector<caller_answer>& answers)
{
    std::vector<unsigned> statuses;
    statuses.reserve(answers.size());
    for (const auto& each : answers)
        statuses.push_back(each.status());
    return statuses;
}

/** Endless messages of an upstream: name, begin, piece. */
struct endless_message {
    std::string name;
    std::string path;
    std::string begin;
    std::string piece;
    /** What the gateway may read of each sender before it closes. */
    std::size_t read_bytes;
    /** Of the caller's answer: 200 if a part of it was passed on. */
    unsigned status = 502;
};

std::ostream& operator<<(std::ostream& out, const endless_message& message)
{
    return out << message.name;
}

class upstream_input : public flooded_gateway,
                       public testing::WithParamInterface<endless_message>
{
};

/** What the sockets of one connection buffer, at both ends. */
constexpr std::size_t socket_bytes = 8 * mib;

// Guards against a message that never ends: the gateway buffers or reads it
// until the route's deadline, and its memory grows with the sender's speed.
TEST_P(upstream_input, ends_the_attempt_when_it_exceeds_its_bound)
{
    const auto& what = GetParam();
    flood_with(what.begin, what.piece);
    const auto before = peak_mb();
    const auto began = steady_now();
    const auto answers = send_concurrently(what.path);
    EXPECT_THAT(statuses_of(answers), Each(what.status));
    for (const auto& each : answers)
        EXPECT_EQ(each.whole, what.status != 200);
    // Well before the route's time.
    EXPECT_LT(steady_now() - began, std::chrono::seconds(6));
    EXPECT_LE(flooded.load(), senders * (what.read_bytes + socket_bytes));
    check_memory(before);
    EXPECT_TRUE(wait_for_log(R"("event":"upstream_input_rejected")"));
    EXPECT_THAT(metrics(), HasSubstr("cyclamenrun_input_rejected_total{reason="
                                     "\"oversized\",sender=\"upstream\"}"));
    EXPECT_TRUE(wait_until_released());
}

INSTANTIATE_TEST_SUITE_P(
    messages, upstream_input,
    testing::Values(
        endless_message{"chunk_size_line", "/f/x", "HEAD" + chunked,
                        std::string(64 * kib, '0'), mib},
        endless_message{"chunk_extension", "/f/x", "HEAD" + chunked + "1;x=",
                        std::string(64 * kib, 'x'), mib},
        endless_message{
            "extensions_of_tiny_chunks", "/f/x", "HEAD" + chunked,
            repeated("1;x=" + std::string(8 * kib, 'x') + "\r\ny\r\n"), mib},
        endless_message{"trailer", "/f/x", "HEAD" + chunked + "0\r\nX: ",
                        std::string(64 * kib, 'x'), mib},
        endless_message{"interim_heads", "/f/x", "",
                        repeated("HTTP/1.1 102 Processing\r\n\r\n"), mib},
        endless_message{"stray_responses", "/f/x", "",
                        repeated("HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                                 "Content-Length: 1000\r\n\r\n" +
                                 std::string(1000, 'x')),
                        mib},
        endless_message{"unsealed_body", "/f/x", "HTTP/1.1 200 OK\r\n\r\n",
                        std::string(64 * kib, 'x'), mib},
        endless_message{"comments", "/e/x",
                        "HEADContent-Type: text/event-stream\r\n\r\n",
                        repeated(": ping\n\n"), mib, 200},
        endless_message{"comment_lines", "/e/x",
                        "HEADContent-Type: text/event-stream\r\n" + chunked,
                        "10000\r\n" + std::string(64 * kib - 1, ':') + "\n\r\n",
                        3 * mib},
        endless_message{"repeated_events", "/e/x",
                        "HEADContent-Type: text/event-stream\r\n\r\n",
                        repeated("id: 1\ndata: x\n\n"), mib, 200}),
    [](const auto& each) { return each.param.name; });

class bounded_input : public flooded_gateway
{
};

// Guards against a refusal that says that the request has not run, although an
// upstream had it.
TEST_F(bounded_input, a_response_over_its_bound_is_not_said_not_to_have_run)
{
    flood_with("HEAD" + chunked, std::string(64 * kib, '0'));
    for (const std::string path : {"/f/x", "/i/x"}) {
        test_caller caller(address);
        caller.send(request_text("k1", path));
        const auto answer = caller.read();
        EXPECT_EQ(answer.status(), 502U);
        EXPECT_THAT(answer.body, HasSubstr("upstream_lost"));
    }
}

// Guards against a body without end that is buffered since nothing of it can be
// passed on.
TEST_F(bounded_input, an_endless_body_that_cannot_be_delivered_is_dropped)
{
    sealed = false;
    flood_with("HEAD\r\n", std::string(64 * kib, 'x'));
    const auto before = peak_mb();
    EXPECT_THAT(statuses_of(send_concurrently("/f/x")), Each(502U));
    EXPECT_LE(flooded.load(), senders * (mib + socket_bytes));
    check_memory(before);
}

// Guards against an upstream that is read faster than the caller consumes: the
// difference would be held by the gateway.
TEST_F(bounded_input, a_slow_caller_slows_its_upstream)
{
    flood_with("HEAD\r\n", std::string(64 * kib, 'x'));
    const auto before = peak_mb();
    std::vector<std::unique_ptr<test_caller>> callers;
    for (int i = 0; i < senders; ++i) {
        callers.push_back(std::make_unique<test_caller>(address));
        callers.back()->send(request_text("k1", "/f/x"));
    }
    check_others();
    EXPECT_LE(flooded.load(), senders * (mib + 3 * socket_bytes));
    check_memory(before);
}

// Guards against a bound that cuts what is legitimate: long streams, and long
// complete bodies.
TEST_F(bounded_input, long_responses_are_whole)
{
    constexpr std::size_t size = 24 * mib;
    flood_with("HEADContent-Length: " + std::to_string(size) + "\r\n\r\n" +
                   std::string(size, 'x'),
               " ");
    // The fixture's caller accepts 4 MiB; this one counts.
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    const auto request = request_text("k1", "/f/x");
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::size_t body = 0;
    bool whole = false;
    http_reader reader(http_message_kind::response, {16 * kib, 64 * mib},
                       {{},
                        [&](std::string_view bytes) { body += bytes.size(); },
                        [&] { whole = true; }});
    std::vector<char> bytes(64 * kib);
    while (!whole) {
        const auto count = socket.receiveBytes(bytes.data(), 64 * kib);
        ASSERT_GT(count, 0);
        ASSERT_TRUE(
            reader.feed({bytes.data(), static_cast<std::size_t>(count)}));
    }
    EXPECT_EQ(body, size);
}

TEST_F(bounded_input, a_long_request_in_small_chunks_is_served)
{
    test_caller caller(address);
    caller.send(chunked_request());
    std::string chunks;
    for (int i = 0; i < 100000; ++i)
        chunks += "1\r\nx\r\n";
    caller.send(chunks + "0\r\n\r\n");
    EXPECT_EQ(caller.read().status(), 200U);
}

struct endless_request {
    std::string name;
    std::string begin;
    std::string piece;
};

std::ostream& operator<<(std::ostream& out, const endless_request& request)
{
    return out << request.name;
}

class caller_input : public flooded_gateway,
                     public testing::WithParamInterface<endless_request>
{
};

// Guards against a caller that ends a gateway by a request that never ends.
TEST_P(caller_input, is_rejected_when_it_exceeds_its_bound)
{
    const auto& what = GetParam();
    const auto before = peak_mb();
    const auto statuses =
        flood_from_callers(chunked_request() + what.begin, what.piece);
    // A reset that follows the answer may reach the caller before it.
    EXPECT_THAT(statuses, Each(testing::AnyOf(0U, 400U, 413U)));
    EXPECT_EQ(closed.load(), senders);
    EXPECT_LE(flooded.load(), senders * (10 * mib + socket_bytes));
    check_memory(before);
    EXPECT_THAT(metrics(), HasSubstr("sender=\"caller\"}"));
    EXPECT_TRUE(wait_until_released());
}

INSTANTIATE_TEST_SUITE_P(
    messages, caller_input,
    testing::Values(
        endless_request{"chunk_size_line", "", std::string(64 * kib, '0')},
        endless_request{"chunk_extension", "1;x=", std::string(64 * kib, 'x')},
        endless_request{
            "extensions_of_tiny_chunks", "",
            repeated("1;x=" + std::string(8 * kib, 'x') + "\r\ny\r\n")},
        endless_request{"trailer", "0\r\nX: ", std::string(64 * kib, 'x')},
        endless_request{"body", "",
                        "10000\r\n" + std::string(64 * kib, 'x') + "\r\n"}),
    [](const auto& each) { return each.param.name; });

TEST_F(bounded_input, an_endless_chunk_size_line_is_answered_with_400)
{
    test_caller caller(address);
    caller.send(chunked_request() + std::string(100 * kib, '0'));
    const auto answer = caller.read();
    EXPECT_EQ(answer.status(), 400U);
    EXPECT_EQ(answer.field("Connection"), "close");
}

// Guards against answers that are held for a caller that sends requests and
// reads nothing: each is small, and their number has no bound.
TEST_F(bounded_input, requests_of_a_caller_that_reads_no_answers_wait)
{
    const auto before = peak_mb();
    const auto requests = repeated("GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n");
    std::vector<std::thread> threads;
    threads.reserve(senders);
    for (int i = 0; i < senders; ++i)
        threads.emplace_back([&] {
            Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
            socket.setSendTimeout(Poco::Timespan(1, 0));
            try {
                for (std::size_t sent = 0; sent < flood_bytes;) {
                    const auto count = socket.sendBytes(
                        requests.data(), static_cast<int>(requests.size()));
                    sent += static_cast<std::size_t>(count);
                    flooded += static_cast<std::size_t>(count);
                }
            } catch (const Poco::Exception&) {
                return; // it is not read any more
            }
        });
    check_others();
    for (auto& each : threads)
        each.join();
    EXPECT_LE(flooded.load(), senders * 2 * socket_bytes);
    check_memory(before);
}

// Guards against a proper request that is refused for its size, and for good,
// since others fill the process: its caller may come again.
TEST_F(bounded_input, a_request_without_room_is_refused_until_there_is_some)
{
    std::vector<std::unique_ptr<test_caller>> callers;
    const auto body = "300000\r\n" + std::string(3 * mib, 'x') + "\r\n";
    for (int i = 0; i < 8; ++i) {
        callers.push_back(std::make_unique<test_caller>(address));
        callers.back()->send(chunked_request() + body);
    }
    std::vector<unsigned> statuses;
    for (const auto& each : callers) {
        try {
            each->send("0\r\n\r\n");
        } catch (const Poco::Exception&) {
            // It was rejected.
        }
        const auto answer = each->read();
        statuses.push_back(answer.status());
        EXPECT_EQ(answer.status() == 503, !answer.field("Retry-After").empty());
    }
    EXPECT_THAT(statuses, Each(testing::AnyOf(200U, 503U)));
    EXPECT_THAT(statuses, testing::Contains(503U));
    callers.clear();
    EXPECT_TRUE(wait_until_released());
    test_caller again(address);
    again.send(chunked_request() + body + "0\r\n\r\n");
    EXPECT_EQ(again.read().status(), 200U);
}

// Guards against many callers that hold incomplete requests, each within its
// own bound: together they get what the process may hold, and others are
// served meanwhile.
TEST_F(bounded_input, many_incomplete_requests_stay_within_the_process_bound)
{
    const auto before = peak_mb();
    constexpr int count = 24;
    std::vector<std::unique_ptr<test_caller>> callers;
    const auto body = "300000\r\n" + std::string(3 * mib, 'x') + "\r\n";
    for (int i = 0; i < count; ++i) {
        callers.push_back(std::make_unique<test_caller>(address));
        try {
            callers.back()->send(chunked_request() + body);
        } catch (const Poco::Exception&) {
            continue; // rejected while it was sent
        }
    }
    check_others();
    check_memory(before);
    EXPECT_THAT(metrics(),
                HasSubstr("cyclamenrun_input_rejected_total{reason=\"no_room\","
                          "sender=\"caller\"}"));
    callers.clear();
    EXPECT_TRUE(wait_until_released());
    test_caller late(address);
    late.send(chunked_request() + body + "0\r\n\r\n");
    EXPECT_EQ(late.read().status(), 200U);
}

// Guards against a caller that is read without end after its request was
// rejected, while the gateway waits for it to close.
TEST_F(bounded_input, a_rejected_caller_is_read_no_further)
{
    unsigned status = 0;
    const auto sent =
        flood_gateway("nonsense\r\n\r\n", std::string(64 * kib, 'x'), status);
    EXPECT_LE(sent, 6 * mib + socket_bytes);
}

class oversized_responses : public gateway_fixture
{
protected:
    ~oversized_responses() override
    {
        gateway.reset();
        upstreams.clear();
    }

    /** The first of two upstreams that is asked floods. */
    void add_upstreams()
    {
        const auto script = [this](const arrived_request& request,
                                   upstream_reply& reply) {
            if (begun++ > 0) {
                reply.answer(request, 200, "good");
                return;
            }
            reply.send("HTTP/1.1 200 OK\r\nAttempt-Id: " +
                       request.field("Attempt-Id") +
                       "\r\nResponse-Seal: seal\r\n" + chunked);
            for (int i = 0; i < 1000; ++i)
                reply.send(std::string(64 * kib, '0'));
        };
        add("u1", script);
        add("u2", script);
    }

    std::atomic<int> begun = 0;
};

// Guards against a retry that is missed: another upstream could have answered.
TEST_F(oversized_responses, are_retried_where_the_route_allows_it)
{
    start();
    add_upstreams();
    const auto answer = send_request("/safe/x");
    EXPECT_EQ(answer.status(), 200U);
    EXPECT_EQ(answer.body, "good");
}

// Guards against a request that runs twice.
TEST_F(oversized_responses, are_not_retried_otherwise)
{
    start();
    add_upstreams();
    EXPECT_EQ(send_request("/plain/x").status(), 502U);
    EXPECT_EQ(begun.load(), 1);
}

} // namespace
} // namespace cyclamenrun::testing_support
