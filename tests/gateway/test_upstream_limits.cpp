#include "gateway_fleet.hpp"

#include <algorithm>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

class limited_upstreams : public gateway_fleet
{
protected:
    /** Adds an upstream that names a limit; empty: none. */
    fake_upstream& add_limited(const std::string& id, const std::string& limit)
    {
        return add_to_all(
            id, [limit](const arrived_request& request, upstream_reply& reply) {
                reply.answer(request, 200, "good",
                             limit.empty() ? ""
                                           : "Server-Limit: " + limit + "\r\n");
            });
    }
};

// Guards against an upstream that is overrun although it has named a limit:
// it gets at most one and a half times the limit and five requests in four
// seconds, from all gateways together.
TEST_F(limited_upstreams, get_no_more_than_they_take_from_all_gateways)
{
    start_fleet(4);
    const auto& upstream = add_limited("u1", "2.0");
    EXPECT_EQ(send_to(0, "/safe/x", "x").status(), 200U);
    EXPECT_TRUE(all_learn("\"limited_upstreams\":1,"));
    const auto before = upstream.arrived().size();
    const auto end = steady_now() + milliseconds(4000);
    unsigned served = 0;
    for (std::size_t i = 0; steady_now() < end; ++i) {
        const auto answer = send_to(i % size(), "/safe/x", "x");
        served += answer.status() == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(20));
    }
    const auto arrived = upstream.arrived().size() - before;
    EXPECT_LE(arrived, 17U);
    EXPECT_EQ(served, arrived);
    // The limit is used as well.
    EXPECT_GE(arrived, 4U);
}

} // namespace
} // namespace cyclamenrun::testing_support
