#include "gateway_fixture.hpp"

#include <atomic>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** Entries of the directory that name the address of a live upstream. */
class contested_addresses : public gateway_fixture
{
protected:
    ~contested_addresses() override
    {
        gateway.reset();
        upstreams.clear();
    }

    void start_with_health(const std::string& target)
    {
        start(false);
        auto checked = configuration();
        for (auto& service : checked.services)
            service.health_target = target;
        apply(checked);
    }

    /** The script of an upstream that rejects what is meant for another. */
    fake_upstream::script answer_as(const std::string& id)
    {
        return [this, id](const arrived_request& request,
                          upstream_reply& reply) {
            if (request.head.target == "/healthz") {
                ++health_checks;
                reply.answer(request, 200, "", "Instance-Id: " + id + "\r\n");
                return;
            }
            const bool is_meant = request.field("Expect-Instance") == id;
            if (!is_meant || misdirected-- > 0)
                reply.answer(request, 421, "not me");
            else
                reply.answer(request, 200, "good");
        };
    }

    /** An entry of another process that started later at the same address. */
    upstream_record claim(const std::string& id, const std::string& service)
    {
        auto result = records.front();
        result.id = id;
        result.service = service;
        result.started_ms += 500000;
        return result;
    }

    int served(int count)
    {
        int whole = 0;
        for (int i = 0; i < count; ++i)
            whole += send_request("/safe/x").status() == 200U ? 1 : 0;
        return whole;
    }

    /** True if a request is served within so many seconds. */
    bool is_served_within(int seconds)
    {
        const auto until = steady_now() + std::chrono::seconds(seconds);
        while (steady_now() < until) {
            if (served(1) == 1)
                return true;
            std::this_thread::sleep_for(milliseconds(20));
        }
        return false;
    }

    void publish_claim(const upstream_record& claimed)
    {
        const auto before = upstreams.size();
        publish_record(claimed);
        wait_for_upstreams(before + 1);
    }

    std::atomic<int> misdirected = 0; ///< requests that are rejected yet
    std::atomic<int> health_checks = 0;
};

// Guards against a service without an upstream: an entry of another writer, of
// a service that is not configured, names the address of its upstream.
TEST_F(contested_addresses, serve_while_an_unknown_service_names_them)
{
    start_with_health("/healthz");
    add("u1", answer_as("u1"));
    publish_claim(claim("x1", "nobody"));
    EXPECT_EQ(served(30), 30);
    remove_upstream("x1");
    EXPECT_EQ(served(30), 30);
}

// Guards against the same by an entry of another configured service, which
// stays.
TEST_F(contested_addresses, serve_while_another_service_names_them)
{
    start_with_health("/healthz");
    add("u1", answer_as("u1"));
    publish_claim(claim("x1", "model"));
    EXPECT_TRUE(is_served_within(2));
    EXPECT_EQ(served(30), 30);
}

// Guards against the same by an entry of the service itself, which is removed,
// and by a series of such entries.
TEST_F(contested_addresses, serve_while_another_id_of_the_service_names_them)
{
    start_with_health("/healthz");
    add("u1", answer_as("u1"));
    for (int i = 0; i < 5; ++i) {
        const auto id = "x" + std::to_string(i);
        auto foreign = claim(id, "app");
        foreign.started_ms += i;
        publish_claim(foreign);
        EXPECT_TRUE(is_served_within(9));
        remove_upstream(id);
        EXPECT_EQ(served(10), 10);
    }
}

// Guards against requests that an upstream rejects for good: its successor at
// the address is listed, and its own entry stays.
TEST_F(contested_addresses, are_of_the_process_that_answers_there)
{
    start_with_health("/healthz");
    add("u1", answer_as("x1"));
    publish_claim(claim("x1", "app"));
    EXPECT_TRUE(is_served_within(2));
    EXPECT_EQ(served(30), 30);
    int rejected = 0;
    for (const auto& each : upstreams[0]->arrived())
        rejected += each.field("Expect-Instance") == "u1" ? 1 : 0;
    EXPECT_LE(rejected, 1);
}

// Guards against an upstream that gets no request any more since it has
// rejected one as misdirected.
TEST_F(contested_addresses, are_used_again_after_a_misdirected_request)
{
    start_with_health("/healthz");
    add("u1", answer_as("u1"));
    misdirected = 1;
    EXPECT_EQ(served(1), 0);
    EXPECT_TRUE(is_served_within(2));
    EXPECT_EQ(served(30), 30);
    EXPECT_EQ(health_checks, 1);
}

// Guards against the same where the service has no health check.
TEST_F(contested_addresses, are_tried_again_without_a_health_check)
{
    start();
    add("u1", answer_as("u1"));
    misdirected = 1;
    EXPECT_EQ(served(1), 0);
    EXPECT_TRUE(is_served_within(5));
    EXPECT_EQ(served(30), 30);
}

// Guards against a flood of misdirected requests and checks: the upstream
// answers checks as itself and rejects each request.
TEST_F(contested_addresses, are_checked_seldom_if_they_reject_all)
{
    start_with_health("/healthz");
    add("u1", answer_as("u1"));
    misdirected = 1000000;
    const auto until = steady_now() + std::chrono::seconds(4);
    while (steady_now() < until)
        EXPECT_EQ(served(1), 0);
    EXPECT_LE(health_checks, 5);
    EXPECT_LE(upstreams[0]->arrived().size(), 10U);
}

} // namespace
} // namespace cyclamenrun::testing_support
