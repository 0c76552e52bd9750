#include "deployment.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing_support::deployment;
using testing_support::stream_end_kind;

/**
 * One request crashes each engine that runs it. Its caller has seen nothing of
 * it, so the entry runs it once more, alone, on another engine, and loses that
 * too. It is refused then, also by the other entry, to which the caller turns
 * next: the third engine lives on and serves others.
 */
TEST(poison, costs_two_engines_whichever_entries_it_comes_through)
{
    deployment system;
    for (const auto* name : {"redactor-1", "redactor-2", "redactor-3"})
        system.add_model(name);
    system.add_entry("entry-1");
    system.add_entry("entry-2");
    system.wait_until_ready();

    const auto first = system.crash(system.entry(0));
    ASSERT_TRUE(first);
    EXPECT_GE(first->head.status, 400);
    const auto second = system.crash(system.entry(1));
    ASSERT_TRUE(second);
    EXPECT_NE(second->body.find("poison"), std::string::npos) << second->body;

    std::size_t live = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        const http_request look{
            "GET", "/v1/runs", "", "", {}, steady_now() + milliseconds(2'000)};
        http_exchange exchange(system.upstream(i).back_end->address(), {},
                               steady_now);
        live += exchange.run(look) ? 1 : 0;
    }
    EXPECT_EQ(live, 1U);
    auto healthy = system.generate(system.entry(1), "healthy", 4);
    healthy.read_all();
    EXPECT_EQ(healthy.end(), stream_end_kind::whole);
}

} // namespace
} // namespace cyclamenrun
