#include "gateway_fleet.hpp"

#include <algorithm>
#include <atomic>

namespace cyclamenrun::testing_support
{
namespace
{

constexpr unsigned refused = 503;

class poison_requests : public gateway_fleet
{
protected:
    /** Adds upstreams that crash when they run a request with this body. */
    void add_upstreams(std::size_t count, const std::string& poison)
    {
        for (std::size_t i = 0; i < count; ++i)
            add_to_all("u" + std::to_string(i),
                       [this, poison, i](const arrived_request& request,
                                         upstream_reply& reply) {
                           if (request.body == poison)
                               upstreams[i]->crash();
                           else
                               reply.answer(request, 200, "good");
                       });
    }

    long crashes() const
    {
        return std::count_if(upstreams.begin(), upstreams.end(),
                             [](const auto& each) { return each->crashed(); });
    }
};

// Guards against the loss of a whole service: a caller sends a request that
// crashes its upstreams again and again, through all gateways.
TEST_F(poison_requests, end_no_more_than_two_upstreams_through_all_gateways)
{
    start_fleet(3);
    add_upstreams(10, "poison");
    EXPECT_EQ(send_to(0, "/safe/x", "poison").status(), 502U);
    EXPECT_TRUE(all_learn("\"poison_requests\":1,"));
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_EQ(send_to(i % size(), "/safe/x", "poison").status(), refused);
    EXPECT_EQ(crashes(), 2);
    EXPECT_EQ(send_to(1, "/safe/x", "healthy").status(), 200U);
}

// Guards against a gateway that starts again and knows nothing of the request.
TEST_F(poison_requests, are_refused_by_a_gateway_that_restarts)
{
    start_fleet(2);
    add_upstreams(6, "poison");
    EXPECT_EQ(send_to(0, "/safe/x", "poison").status(), 502U);
    EXPECT_TRUE(all_learn("\"poison_requests\":1,"));
    restart(0);
    EXPECT_TRUE(all_learn("\"poison_requests\":1,"));
    const auto answer = send_to(0, "/safe/x", "poison");
    EXPECT_EQ(answer.status(), refused);
    EXPECT_NE(answer.body.find("poison"), std::string::npos);
    // The delay lasts until the request may be tried again.
    EXPECT_GT(std::stod(answer.field("Retry-After")), 40.0);
    EXPECT_EQ(crashes(), 2);
}

// Guards against the conviction of a healthy request: upstreams that live on
// reset its connections.
TEST_F(poison_requests, are_not_those_whose_connections_were_reset)
{
    start_fleet(2);
    std::atomic<int> resets = 4;
    for (const auto* id : {"u1", "u2", "u3"})
        add_to_all(id,
                   [&](const arrived_request& request, upstream_reply& reply) {
                       if (--resets >= 0)
                           reply.reset();
                       else
                           reply.answer(request, 200, "good");
                   });
    EXPECT_EQ(send_to(0, "/safe/x", "healthy").status(), 502U);
    EXPECT_EQ(send_to(1, "/safe/x", "healthy").status(), 502U);
    EXPECT_EQ(send_to(0, "/safe/x", "healthy").status(), 200U);
    EXPECT_EQ(send_to(1, "/safe/x", "healthy").status(), 200U);
}

// Guards against a convicted write that is refused as "not run" after it ran.
TEST_F(poison_requests, that_ran_are_not_refused_as_not_run)
{
    start_fleet(1);
    add_upstreams(4, "poison");
    EXPECT_EQ(send_to(0, "/plain/x", "poison").status(), 502U);
    EXPECT_EQ(send_to(0, "/plain/x", "poison").status(), 502U);
    EXPECT_TRUE(all_learn("\"poison_requests\":1,"));
    EXPECT_EQ(send_to(0, "/plain/x", "poison").status(), refused);
    EXPECT_EQ(crashes(), 2);
}

} // namespace
} // namespace cyclamenrun::testing_support
