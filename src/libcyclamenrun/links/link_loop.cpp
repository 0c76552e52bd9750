#include "link_loop.hpp"

#include "link_reactor.hpp"

#include <utility>

namespace cyclamenrun
{

link_loop::link_loop()
    : reactor_(std::make_shared<link_reactor>()),
      thread_([reactor = reactor_] { reactor->run(); })
{
}

link_loop::~link_loop()
{
    reactor_->stop();
    thread_.join();
}

void link_loop::post(std::function<void()> work)
{
    reactor_->post(std::move(work));
}

void link_loop::post_at(time_point when, std::function<void()> work)
{
    reactor_->post_at(when, std::move(work));
}

} // namespace cyclamenrun
