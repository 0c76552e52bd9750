#include "agent_links.hpp"
#include "link_loop.hpp"

#include <atomic>
#include <gtest/gtest.h>
#include <optional>
#include <thread>

namespace cyclamenrun
{
namespace
{

/**
 * An entry that has served all its callers aborts at the very end of its
 * planned stop. The links are closed while a callback is under way on a loop's
 * thread; that callback was the last to hold the loops, so the loop was ended
 * by its own thread, which can't wait for itself.
 */
TEST(agent_links, may_end_while_a_callback_is_under_way)
{
    std::vector<std::shared_ptr<link_loop>> loops{
        std::make_shared<link_loop>()};
    const std::weak_ptr<link_loop> loop = loops.front();
    std::atomic<bool> under_way = false;
    std::atomic<bool> links_gone = false;
    agent_links_hooks hooks;
    hooks.request = [](const std::string&) { return link::Heartbeat(); };
    hooks.reply = [](const std::string&, const link::HeartbeatReply&) {};
    hooks.failure = [&](const std::string&, link_failure) {
        under_way = true;
        // Until nobody but this callback's own links could hold the loop.
        while (!links_gone || loop.use_count() > 1)
            std::this_thread::yield();
    };
    std::optional<agent_links> links;
    links.emplace(loops, std::string(32, 'k'), link_limits{}, hooks,
                  steady_now);
    // Nobody listens at this port, so the failure comes at once.
    links->watch({{"vm-1", "127.0.0.1:1"}});
    while (!under_way)
        std::this_thread::yield();
    links.reset();
    links_gone = true;
    loops.clear();
    EXPECT_TRUE(loop.expired());
}

} // namespace
} // namespace cyclamenrun
