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

// Guards against an abort of the entry at the end of its shutdown. When the
// links are closed while a callback runs on a loop's thread, that callback may
// hold the last reference to the links' state. If the state owned the loops,
// the loop's thread would destroy its own loop and join itself.
TEST(agent_links, can_be_destroyed_while_a_callback_runs)
{
    std::vector<std::shared_ptr<link_loop>> loops{
        std::make_shared<link_loop>()};
    const std::weak_ptr<link_loop> loop = loops.front();
    std::atomic<bool> callback_running = false;
    std::atomic<bool> links_destroyed = false;
    agent_links_hooks hooks;
    hooks.make_heartbeat = [](const std::string&) { return link::Heartbeat(); };
    hooks.on_reply = [](const std::string&, const link::HeartbeatReply&) {};
    hooks.on_failure = [&](const std::string&, link_failure) {
        callback_running = true;
        // Waits until only the links' state could still own the loop.
        while (!links_destroyed || loop.use_count() > 1)
            std::this_thread::yield();
    };
    std::optional<agent_links> links;
    links.emplace(loops, std::string(32, 'k'), link_limits{}, hooks,
                  steady_now);
    // No process listens on this port, so the failure is immediate.
    links->watch({{"vm-1", "127.0.0.1:1"}});
    while (!callback_running)
        std::this_thread::yield();
    links.reset();
    links_destroyed = true;
    loops.clear();
    EXPECT_TRUE(loop.expired());
}

} // namespace
} // namespace cyclamenrun
