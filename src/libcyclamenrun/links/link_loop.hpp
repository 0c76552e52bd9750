#ifndef CYCLAMENRUN_LINK_LOOP_HPP
#define CYCLAMENRUN_LINK_LOOP_HPP

#include "clock.hpp"

#include <functional>
#include <memory>
#include <thread>

namespace cyclamenrun
{

class link_reactor;

/**
 * A thread that serves many connections. A process may have several loops to
 * spread its load. Each connection stays on one loop, so its state needs no
 * lock.
 *
 * The destructor closes all connections of the loop; it must not run on the
 * loop's own thread, which it joins.
 */
class link_loop
{
public:
    link_loop();
    link_loop(const link_loop&) = delete;
    link_loop& operator=(const link_loop&) = delete;
    ~link_loop();

    /** Runs `work` on the loop's thread. Thread-safe. */
    void post(std::function<void()> work);
    /** Runs `work` on the loop's thread at `when` or later. Thread-safe. */
    void post_at(time_point when, std::function<void()> work);

    const std::shared_ptr<link_reactor>& reactor() const { return reactor_; }

private:
    std::shared_ptr<link_reactor> reactor_;
    std::thread thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_LOOP_HPP
