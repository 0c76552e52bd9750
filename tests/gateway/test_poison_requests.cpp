#include "gateway_fleet.hpp"

#include <algorithm>

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

} // namespace
} // namespace cyclamenrun::testing_support
