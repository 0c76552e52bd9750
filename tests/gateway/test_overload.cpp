#include "../support/free_port.hpp"
#include "gateway_fixture.hpp"
#include "load.pb.h"

#include <Poco/Net/DatagramSocket.h>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** A gateway that receives load reports of one engine. */
class overload : public gateway_fixture
{
protected:
    overload()
    {
        settings.loads_listen = {"127.0.0.1", free_port()};
        settings.monitor_port = free_port();
        start();
        auto& engine = add(
            "e1",
            [](const arrived_request& request, upstream_reply& reply) {
                reply.begin_stream(request);
                reply.event(1);
                reply.end_stream();
            },
            "model");
        address = to_string(engine.address());
    }

    /** Sends a load report several times, since reports are unacknowledged. */
    void report_load(unsigned queued, unsigned prefill_backlog_ms)
    {
        v1::MonitorNotice notice;
        auto& load = *notice.mutable_load();
        load.set_engine_address(address);
        load.set_queued(queued);
        load.set_unread_ms(prefill_backlog_ms);
        load.set_memory_total(100000);
        const auto bytes = notice.SerializeAsString();
        Poco::Net::DatagramSocket socket;
        const Poco::Net::SocketAddress gateway_address(
            settings.loads_listen.host, settings.loads_listen.port);
        for (int i = 0; i < 5; ++i) {
            socket.sendTo(bytes.data(), static_cast<int>(bytes.size()),
                          gateway_address);
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    caller_answer send_with_deadline(int ms)
    {
        auto text = request("/res/x");
        const std::string usual = "Deadline-Ms: 9000";
        text.replace(text.find(usual), usual.size(),
                     "Deadline-Ms: " + std::to_string(ms));
        test_caller caller(gateway->address());
        caller.send(text);
        return caller.read();
    }

    std::string address;
};

// Guards against requests that time out in a queue: the engine's queue takes
// four seconds and the caller's deadline is two seconds away. An immediate
// refusal leaves the caller time for an alternative.
TEST_F(overload, refuses_a_request_that_would_miss_its_deadline)
{
    report_load(12, 4300);
    const auto began = steady_now();
    const auto answer = send_with_deadline(2000);
    EXPECT_EQ(answer.status(), 503U);
    EXPECT_EQ(answer.body, R"({"error":"overloaded"})");
    EXPECT_LT(steady_now() - began, milliseconds(1500));
    // 4.3 s minus half of the deadline, with a jitter of 20 %.
    const auto after = std::stod(answer.field("Retry-After"));
    EXPECT_GE(after, 2.5);
    EXPECT_LE(after, 4.2);
    EXPECT_TRUE(upstreams.front()->arrived().empty());
}

TEST_F(overload, serves_a_request_with_a_later_deadline)
{
    report_load(12, 4300);
    EXPECT_EQ(send_with_deadline(8000).status(), 200U);
    report_load(0, 0);
    EXPECT_EQ(send_with_deadline(2000).status(), 200U);
}

} // namespace
} // namespace cyclamenrun::testing_support
