#include "../support/free_port.hpp"
#include "gateway_fixture.hpp"
#include "scripted_monitor.hpp"

#include <atomic>
#include <memory>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

using notice = std::optional<v1::MonitorNotice>;

/** A gateway and two engines; the second one names a limit in its answers. */
class start_limits : public gateway_fixture
{
protected:
    start_limits()
    {
        const auto port = free_port();
        settings.loads_listen = {"127.0.0.1", free_port()};
        settings.monitor_port = port;
        start();
        add("e1", answer_with_stream, "model", "127.0.0.1");
        add(
            "e2",
            [this](const arrived_request& request, upstream_reply& reply) {
                while (!is_second_requested)
                    std::this_thread::sleep_for(milliseconds(2));
                reply.answer(request, 503, "full", "Server-Limit: 0\r\n");
                has_answered = true;
            },
            "model", "127.0.0.2");
        unlimited = std::make_unique<scripted_monitor>(
            "127.0.0.1", port, [this](const v1::MonitorRequest& request) {
                return grant_if(request, has_granted_limited);
            });
        limited = std::make_unique<scripted_monitor>(
            "127.0.0.2", port, [this](const v1::MonitorRequest& request) {
                return respond_for_limited(request);
            });
    }

    static void answer_with_stream(const arrived_request& request,
                                   upstream_reply& reply)
    {
        reply.begin_stream(request);
        reply.event(1);
        reply.end_stream();
    }

    static notice grant_if(const v1::MonitorRequest& request, bool may_grant)
    {
        if (!request.has_start_wanted())
            return std::nullopt;
        const auto& id = request.start_wanted().id();
        return may_grant ? start_given(id) : start_waits(id);
    }

    /** Grants the first start at once, others when the limit is known. */
    notice respond_for_limited(const v1::MonitorRequest& request)
    {
        if (!request.has_start_wanted())
            return std::nullopt;
        const auto& id = request.start_wanted().id();
        if (first_id.empty())
            first_id = id;
        if (id == first_id)
            return start_given(id);
        is_second_requested = true;
        auto granted = grant_if(request, has_answered);
        has_granted_limited = has_granted_limited || has_answered;
        return granted;
    }

    /** Sends a request that the limited engine takes. */
    std::unique_ptr<test_caller> send_first()
    {
        auto first = std::make_unique<test_caller>(gateway->address());
        first->send(request("/gen/x"));
        while (!limited->count_of(
            [](const auto& asked) { return asked.has_start_wanted(); }))
            std::this_thread::sleep_for(milliseconds(2));
        return first;
    }

    /** Set by the monitor's thread before its first answer. */
    std::string first_id;
    std::atomic<bool> is_second_requested = false;
    std::atomic<bool> has_answered = false;
    std::atomic<bool> has_granted_limited = false;
    std::unique_ptr<scripted_monitor> unlimited;
    std::unique_ptr<scripted_monitor> limited;
};

// Guards against a search that ends with a grant that can't be used, and starts
// again behind others: an answer to another request has named a limit since the
// engine was asked.
TEST_F(start_limits, leave_other_grants_in_use)
{
    const auto first = send_first();
    EXPECT_EQ(send_request("/gen/x").status(), 200U);
    first->read();
    const auto releases_second = [this](const v1::MonitorRequest& request) {
        return !request.start_ended().empty() &&
               request.start_ended() != first_id;
    };
    EXPECT_TRUE(limited->wait_for(releases_second));
    EXPECT_EQ(unlimited->count_of(releases_second), 0U);
}

// Guards against a caller who waits for an engine that has no room at its limit
// while there is no other.
TEST_F(start_limits, refuse_at_once_if_no_engine_has_room)
{
    remove_upstream("e1");
    const auto first = send_first();
    const auto began = steady_now();
    const auto answer = send_request("/gen/x");
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_NE(answer.body.find("over_limit"), std::string::npos);
    EXPECT_LT(steady_now() - began, std::chrono::seconds(2));
    first->read();
}

} // namespace
} // namespace cyclamenrun::testing_support
