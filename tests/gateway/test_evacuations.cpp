#include "gateway_fixture.hpp"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <algorithm>
#include <array>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

void serve(const arrived_request& request, upstream_reply& reply)
{
    reply.answer(request, 200, "good");
}

void reject(const arrived_request& request, upstream_reply& reply)
{
    reply.answer(request, 503, "no", "Not-Executed: 1\r\n");
}

void fail(const arrived_request&, upstream_reply& reply)
{
    reply.close();
}

/** A gateway and plain upstreams in several failure domains. */
class evacuations : public gateway_fixture
{
protected:
    /** Ends the scripts' threads before the members that they use. */
    ~evacuations() override
    {
        gateway.reset();
        upstreams.clear();
    }

    fake_upstream& add_in(const std::string& failure_domain,
                          const std::string& id, fake_upstream::script respond)
    {
        domain = failure_domain;
        return add(id, std::move(respond));
    }

    /** Sends requests until one has reached the upstream; false: none has. */
    bool reaches(const fake_upstream& upstream)
    {
        const auto before = upstream.arrived().size();
        for (int i = 0; i < 200 && upstream.arrived().size() == before; ++i)
            send_request("/plain/x");
        return upstream.arrived().size() > before;
    }

    /** Expects a refusal at once, since no upstream is left outside. */
    void expect_evacuated(const std::string& path = "/plain/x")
    {
        const auto began = steady_now();
        const auto answer = send_request(path);
        EXPECT_EQ(answer.status(), 503U);
        EXPECT_EQ(answer.body, R"({"error":"evacuated"})");
        EXPECT_GE(std::stod(answer.field("Retry-After")), 1.0);
        EXPECT_LT(steady_now() - began, milliseconds(500));
    }

    std::atomic<bool> may_answer = true;
};

// Guards against requests to upstreams that an operator has evacuated, and
// against ones that stay unused when the evacuation has ended.
TEST_F(evacuations, keep_first_attempts_away_until_they_end)
{
    start();
    const auto& inside = add_in("d1", "u1", serve);
    add_in("d2", "u2", serve);
    evacuate("d1");
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_TRUE(inside.arrived().empty());
    evacuate("d1", false);
    EXPECT_TRUE(reaches(inside));
}

// Guards against evacuations that replace each other, or of which one ends with
// the other.
TEST_F(evacuations, of_two_domains_are_independent)
{
    start();
    const auto& first = add_in("d1", "u1", serve);
    const auto& second = add_in("d2", "u2", serve);
    const auto& third = add_in("d3", "u3", serve);
    evacuate("d1");
    evacuate("d2");
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_TRUE(first.arrived().empty());
    EXPECT_TRUE(second.arrived().empty());
    evacuate("d1", false);
    EXPECT_TRUE(reaches(first));
    EXPECT_TRUE(second.arrived().empty());
    evacuate("d3");
    const auto before = third.arrived().size();
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(send_request("/plain/x").status(), 200U);
    EXPECT_TRUE(second.arrived().empty());
    EXPECT_EQ(third.arrived().size(), before);
}

// Guards against callers that wait for nothing or get another reason, also when
// the upstreams leave or rest: the only domain of a service is evacuated.
TEST_F(evacuations, of_all_domains_are_a_refusal_at_once)
{
    start();
    const auto& only = add_in("d1", "u1", serve);
    const auto& resting =
        add_in("d2", "u2", [](const auto& request, auto& reply) {
            reply.ask_for_rest(request, "30");
        });
    EXPECT_TRUE(reaches(resting));
    const auto before = only.arrived().size();
    evacuate("d1");
    evacuate("d2");
    expect_evacuated("/plain/x");
    expect_evacuated("/safe/x");
    drain("u1");
    drain("u2");
    expect_evacuated();
    EXPECT_EQ(only.arrived().size(), before);
    EXPECT_EQ(resting.arrived().size(), 1U);
}

// Guards against retries that reach an evacuated upstream: those outside reject
// requests or lose them.
TEST_F(evacuations, keep_retries_away)
{
    start();
    const auto& inside = add_in("d1", "u1", serve);
    const auto& rejecting = add_in("d2", "u2", reject);
    evacuate("d1");
    EXPECT_EQ(send_request("/safe/x").status(), 503U);
    EXPECT_EQ(rejecting.arrived().size(), 1U);
    drain("u2");
    const auto& failing = add_in("d3", "u3", fail);
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(send_request("/safe/x").status(), 502U);
    EXPECT_FALSE(failing.arrived().empty());
    EXPECT_TRUE(inside.arrived().empty());
}

// Guards against an upstream that is avoided by an evacuation and not by its
// Retry-After: those outside ask for rest, so the end of their rest counts.
TEST_F(evacuations, leave_those_outside_that_rest_as_the_reason)
{
    start();
    const auto& inside = add_in("d1", "u1", serve);
    evacuate("d1");
    add_in("d2", "u2", [](const auto& request, auto& reply) {
        reply.ask_for_rest(request, "30");
    });
    EXPECT_EQ(send_request("/plain/x").status(), 503U);
    const auto refused = send_request("/plain/x");
    EXPECT_EQ(refused.body, R"({"error":"upstreams_resting"})");
    EXPECT_GE(std::stod(refused.field("Retry-After")), 28.0);
    EXPECT_TRUE(inside.arrived().empty());
}

// Guards against work that an evacuation ends: calls that run there finish.
TEST_F(evacuations, do_not_end_what_runs)
{
    start();
    may_answer = false;
    const auto& inside =
        add_in("d1", "u1", [this](const auto& request, auto& reply) {
            while (!may_answer)
                std::this_thread::sleep_for(milliseconds(5));
            serve(request, reply);
        });
    test_caller caller(gateway->address());
    caller.send(request("/plain/x"));
    inside.wait_for(1);
    evacuate("d1");
    std::this_thread::sleep_for(milliseconds(1700));
    may_answer = true;
    EXPECT_EQ(caller.read().status(), 200U);
    expect_evacuated();
    EXPECT_EQ(inside.arrived().size(), 1U);
}

/** An upstream that accepts connections and reads nothing. */
class evacuated_links : public evacuations
{
protected:
    evacuated_links()
    {
        listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        // Smaller than the request, so that its rest is not acknowledged, as
        // behind a link that is cut.
        listener.setReceiveBufferSize(4096);
        listener.listen();
    }

    /** Sends a request there, evacuates its domain; returns the answer. */
    caller_answer evacuate_during_send(const std::string& path)
    {
        start();
        upstream_record record;
        record.id = "u1";
        record.service = "app";
        record.address = {"127.0.0.1", listener.address().port()};
        record.failure_domain = "d1";
        record.slots = 8;
        publish_record(record);
        wait_for_upstreams(1);
        test_caller caller(gateway->address());
        caller.send(request(path, "k1", "", std::string(body_bytes, 'x')));
        accepted = listener.acceptConnection();
        add_outside();
        evacuate("d1");
        learned = steady_now();
        return caller.read();
    }

    void add_outside()
    {
        domain = "d2";
        records.emplace_back(); // the first one is not of the fixture
        add("u2", serve);
    }

    /** Whether the connection was reset, so that no more bytes arrive. */
    bool was_reset()
    {
        std::array<char, 4096> bytes{};
        try {
            for (std::size_t i = 0; i <= body_bytes / bytes.size(); ++i) {
                if (accepted.receiveBytes(bytes.data(), 4096) == 0)
                    return false;
            }
        } catch (const Poco::Net::ConnectionResetException&) {
            return true;
        }
        return false;
    }

    static constexpr std::size_t body_bytes = std::size_t(1) << 19;
    Poco::Net::ServerSocket listener;
    Poco::Net::StreamSocket accepted;
    time_point learned;
};

// Guards against a request that was sent before and arrives long after: the
// system sends its bytes again until the link heals.
TEST_F(evacuated_links, deliver_no_earlier_requests_later)
{
    EXPECT_EQ(evacuate_during_send("/plain/x").status(), 502U);
    EXPECT_GE(steady_now() - learned, milliseconds(1400));
    EXPECT_LT(steady_now() - learned, milliseconds(2500));
    EXPECT_TRUE(was_reset());
}

// The same, of a request that is tried elsewhere before.
TEST_F(evacuated_links, deliver_no_requests_that_were_given_up)
{
    EXPECT_EQ(evacuate_during_send("/safe/x").status(), 200U);
    EXPECT_TRUE(was_reset());
}

} // namespace
} // namespace cyclamenrun::testing_support
