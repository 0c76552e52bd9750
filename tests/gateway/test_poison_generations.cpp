#include "gateway_fleet.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace cyclamenrun::testing_support
{
namespace
{

/**
 * Engines of which some crash when they run a request, and the last one turns
 * away the generation that continues there.
 */
class poison_generations : public gateway_fleet
{
protected:
    /** Adds engines of which the first `count` that run the body crash. */
    void add_engines(std::size_t engines, int count)
    {
        crashes_left = count;
        for (std::size_t i = 0; i < engines; ++i)
            add_to_all(
                "e" + std::to_string(i),
                [this, i](const arrived_request& request,
                          upstream_reply& reply) {
                    respond(i, request, reply);
                },
                "model");
    }

    void respond(std::size_t index, const arrived_request& request,
                 upstream_reply& reply)
    {
        if (!request.field("Kv-From").empty()) {
            // Gives the gateway the time to learn of the crash.
            std::this_thread::sleep_for(milliseconds(100));
            ++continued;
            reply.answer(request, 503, "full", "Not-Executed: 1\r\n");
            return;
        }
        if (request.body != "poison") {
            reply.begin_stream(request);
            reply.event(1);
            // Crashes of generations that have begun enable backups.
            if (request.body == "breaks") {
                reply.close();
                return;
            }
            reply.end_stream();
            return;
        }
        ++runs;
        if (--crashes_left >= 0) {
            upstreams[index]->crash();
            return;
        }
        reply.begin_stream(request);
        reply.event(1);
        reply.end_stream();
    }

    std::atomic<int> crashes_left = 0;
    std::atomic<int> runs = 0;      ///< of the request with the body "poison"
    std::atomic<int> continued = 0; ///< requests that resume from a backup
};

// Guards against "not run" for a generation that has run: its engine crashes,
// the engine with its backup turns it away, and the request is convicted.
TEST_F(poison_generations, that_a_backup_turns_away_are_not_refused_as_not_run)
{
    start_fleet(1);
    add_engines(4, 2);
    EXPECT_FALSE(send_to(0, "/gen/x", "breaks").whole);
    EXPECT_EQ(send_to(0, "/gen/x", "poison").status(), 502U);
    remove_crashed();
    EXPECT_EQ(send_to(0, "/gen/x", "poison").status(), 502U);
    EXPECT_EQ(runs, 2);
    // The second crash convicts the request, and its backup is asked only if
    // the crash is not confirmed in time.
    const int continued_before = continued;
    EXPECT_GE(continued_before, 1);
    EXPECT_LE(continued_before, 2);
    EXPECT_TRUE(all_learn("\"poison_requests\":1,"));
    EXPECT_EQ(send_to(0, "/gen/x", "poison").status(), 503U);
    EXPECT_EQ(runs, 2);
    EXPECT_EQ(continued, continued_before);
}

// Guards against a second run of a generation that must not repeat: its engine
// crashes, and the engine with its backup turns it away.
TEST_F(poison_generations, that_a_backup_turns_away_do_not_run_again)
{
    start_fleet(1);
    add_engines(4, 1);
    EXPECT_FALSE(send_to(0, "/gen/x", "breaks").whole);
    EXPECT_EQ(send_to(0, "/gen/x", "poison").status(), 502U);
    EXPECT_EQ(runs, 1);
    EXPECT_EQ(continued, 1);
}

} // namespace
} // namespace cyclamenrun::testing_support
