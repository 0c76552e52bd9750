#include "load_probe.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Time to wait for replies; a new connection and a reply take a few
 * milliseconds.
 */
constexpr milliseconds response_timeout{30};
/** Calls outlast the wait, since a late reply still serves other requests. */
constexpr milliseconds call_timeout{500};

} // namespace

load_probe::load_probe(gateway_context& context,
                       std::vector<upstream_record> engines,
                       std::function<void()> done)
    : context_(context), engines_(std::move(engines)), done_(std::move(done)),
      pending_replies_(engines_.size())
{
}

void load_probe::start()
{
    context_.reactor->post_timeout(context_.reactor->awake_now() +
                                       response_timeout,
                                   [weak = weak_from_this()] {
                                       if (const auto self = weak.lock())
                                           self->finish();
                                   });
    for (const auto& engine : engines_)
        query(engine);
    if (!engines_.empty())
        return;
    context_.reactor->post([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->finish();
    });
}

void load_probe::query(const upstream_record& engine)
{
    context_.engine_client_pool.idle_client(engine)->call(
        context_.dialect->load_call(), {},
        context_.reactor->now() + call_timeout,
        [weak = weak_from_this(), engine](const call_outcome& outcome) {
            if (const auto self = weak.lock())
                self->handle_reply(engine, outcome);
        });
}

void load_probe::handle_reply(const upstream_record& engine,
                              const call_outcome& outcome)
{
    if (outcome)
        context_.record_notice(engine.id,
                               context_.dialect->read_notice(*outcome));
    const auto load = outcome.and_then([&](const http_reply& reply) {
        return context_.dialect->read_load(reply);
    });
    if (load)
        context_.upstreams.update_load(engine.address, *load,
                                       context_.reactor->now());
    if (--pending_replies_ == 0)
        finish();
}

void load_probe::finish()
{
    if (const auto done = std::exchange(done_, nullptr))
        done();
}

} // namespace cyclamenrun
