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
 * One thread that serves many links. Several loops share the load of a
 * process: each connection stays on its loop, so its state needs no lock.
 *
 * The end of a loop closes everything on it; end it from another thread.
 */
class link_loop
{
public:
    link_loop();
    link_loop(const link_loop&) = delete;
    link_loop& operator=(const link_loop&) = delete;
    ~link_loop();

    /** Runs `work` on the loop's thread; from any thread. */
    void post(std::function<void()> work);
    /** As post(), not before `when`. */
    void post_at(time_point when, std::function<void()> work);

    const std::shared_ptr<link_reactor>& reactor() const { return reactor_; }

private:
    std::shared_ptr<link_reactor> reactor_;
    std::thread thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_LOOP_HPP
