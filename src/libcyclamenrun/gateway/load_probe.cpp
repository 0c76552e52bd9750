#include "load_probe.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/** Wait for replies; a new connection and a reply take a few milliseconds. */
constexpr milliseconds answer_time{30};
/** Calls outlast the wait, since a late reply still serves other requests. */
constexpr milliseconds call_time{500};

} // namespace

load_probe::load_probe(gateway_context& context,
                       std::vector<upstream_record> engines,
                       std::function<void()> done)
    : context_(context), engines_(std::move(engines)), done_(std::move(done)),
      unanswered_(engines_.size())
{
}

void load_probe::start()
{
    context_.reactor->post_at(context_.reactor->now() + answer_time,
                              [weak = weak_from_this()] {
                                  if (const auto self = weak.lock())
                                      self->finish();
                              });
    for (const auto& engine : engines_)
        ask(engine);
    if (engines_.empty())
        finish();
}

void load_probe::ask(const upstream_record& engine)
{
    context_.callers.idle_caller(engine)->call(
        context_.dialect->load_call(), {}, context_.reactor->now() + call_time,
        [weak = weak_from_this(), engine](const call_outcome& outcome) {
            if (const auto self = weak.lock())
                self->take(engine, outcome);
        });
}

void load_probe::take(const upstream_record& engine,
                      const call_outcome& outcome)
{
    const auto load = outcome.and_then([&](const http_reply& reply) {
        return context_.dialect->read_load(reply);
    });
    if (load)
        context_.board.take_load(engine.address, *load,
                                 context_.reactor->now());
    if (--unanswered_ == 0)
        finish();
}

void load_probe::finish()
{
    if (const auto done = std::exchange(done_, nullptr))
        done();
}

} // namespace cyclamenrun
