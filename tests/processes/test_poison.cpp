#include "deployment.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::stream_state;

/**
 * Guards against a poison request that crashes one engine after another. The
 * caller has received no token, so the entry retries the request once, alone,
 * on another engine, which crashes as well. From then on both entries refuse
 * the request, and the third engine stays available for other requests.
 */
TEST(poison, request_crashes_two_engines_at_most_through_any_entries)
{
    deployment system;
    for (const auto* name : {"redactor-1", "redactor-2", "redactor-3"})
        system.add_model(name);
    system.add_entry("entry-1");
    system.add_entry("entry-2");
    system.wait_until_ready();

    const auto first = system.send_poison_request(system.entry(0));
    ASSERT_TRUE(first);
    EXPECT_GE(first->head.status, 400);
    const auto second = system.send_poison_request(system.entry(1));
    ASSERT_TRUE(second);
    EXPECT_NE(second->body.find("poison"), std::string::npos) << second->body;

    std::size_t live_engines = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        const http_request probe{
            "GET", "/v1/runs", "", "", {}, steady_now() + milliseconds(2'000)};
        http_exchange exchange(system.upstream(i).back_end->address(), {},
                               steady_now);
        live_engines += exchange.run(probe) ? 1 : 0;
    }
    EXPECT_EQ(live_engines, 1U);
    auto healthy = system.generate(system.entry(1), "healthy", 4);
    healthy.read_all();
    EXPECT_EQ(healthy.state(), stream_state::complete);
}

} // namespace
} // namespace cyclamenrun
