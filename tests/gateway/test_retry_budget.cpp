#include "gateway_fixture.hpp"
#include "generating_engine.hpp"

#include <memory>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/** A gateway whose budget allows no repeat at all. */
class spent_budget : public gateway_fixture
{
protected:
    spent_budget()
    {
        settings.retry_share = 0;
        settings.retry_extra = 0;
    }

    fake_upstream& add_engine(const std::string& id,
                              const std::shared_ptr<generating_engine>& engine)
    {
        return add(id, script_of(engine), "model");
    }

    /** Streams that have arrived at any upstream. */
    std::size_t count_streams() const
    {
        std::size_t count = 0;
        for (const auto& upstream : upstreams)
            for (const auto& request : upstream->arrived())
                if (request.head.target == "/gen/x" ||
                    request.head.target == "/res/x")
                    ++count;
        return count;
    }

    std::shared_ptr<generating_engine> first =
        std::make_shared<generating_engine>();
    std::shared_ptr<generating_engine> second =
        std::make_shared<generating_engine>();
};

// Guards against moves beyond the budget, and against a stop order for a
// generation that can't be sent to its destination.
TEST_F(spent_budget, leaves_a_generation_at_an_engine_that_leaves)
{
    start();
    first->hold_before = 5;
    add_engine("e1", first);
    test_caller caller(gateway->address());
    caller.send(request("/gen/x"));
    ASSERT_TRUE(caller.wait_for_body(events(1, 4)));
    add_engine("e2", second);
    drain("e1");
    std::this_thread::sleep_for(milliseconds(400));
    first->hold_before = 1000;
    const auto answer = caller.read();
    EXPECT_TRUE(answer.whole);
    EXPECT_EQ(answer.body, events(1, generating_engine::last_event));
    EXPECT_EQ(first->orders, 0);
    EXPECT_EQ(count_streams(), 1U);
}

// Guards against continuations from backups beyond the budget.
TEST_F(spent_budget, cuts_a_generation_whose_engine_crashes)
{
    start();
    add_engine("e1", first);
    add_engine("e2", second);
    first->break_before = 5;
    second->break_before = 5;
    // The first crash makes the gateway keep backups.
    EXPECT_FALSE(send_request("/gen/x").whole);
    EXPECT_FALSE(send_request("/gen/x").whole);
    EXPECT_EQ(count_streams(), 2U);
}

// Guards against new runs of a resumable stream beyond the budget: its caller
// can resume it.
TEST_F(spent_budget, cuts_a_resumable_stream_whose_engine_crashes)
{
    start();
    add_engine("e1", first);
    add_engine("e2", second);
    first->break_before = 5;
    second->break_before = 5;
    EXPECT_FALSE(send_request("/res/x").whole);
    EXPECT_EQ(count_streams(), 1U);
}

// Guards against retries beyond the budget, and against a caller that waits for
// a request that can't be sent.
TEST_F(spent_budget, refuses_a_rejected_request_at_once)
{
    start();
    const auto reject = [](const arrived_request& request,
                           upstream_reply& reply) {
        reply.answer(request, 503, "{}", "Not-Executed: 1\r\n");
    };
    add("a1", reject);
    add("a2", reject);
    const auto began = steady_now();
    EXPECT_EQ(send_request("/safe/x").status(), 503U);
    EXPECT_LT(steady_now() - began, std::chrono::seconds(1));
    EXPECT_EQ(upstreams[0]->arrived().size() + upstreams[1]->arrived().size(),
              1U);
}

} // namespace
} // namespace cyclamenrun::testing_support
