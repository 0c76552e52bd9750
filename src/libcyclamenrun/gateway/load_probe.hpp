#ifndef CYCLAMENRUN_LOAD_PROBE_HPP
#define CYCLAMENRUN_LOAD_PROBE_HPP

#include "gateway_context.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace cyclamenrun
{

/**
 * Queries a few engines for their load when no monitor responds to grant the
 * start of a generation, and stores the replies in the registry of upstreams.
 * Without monitors a gateway only knows its own requests, and would send
 * prompts to engines that spend seconds on the prompts of other gateways.
 */
class load_probe : public std::enable_shared_from_this<load_probe>
{
public:
    /**
     * `done` is called once, after all replies or a timeout; from the reactor,
     * never inside start().
     */
    load_probe(gateway_context& context, std::vector<upstream_record> engines,
               std::function<void()> done);

    void start();
    /** Stops waiting without calling `done`. */
    void cancel() { done_ = nullptr; }

    const std::vector<upstream_record>& engines() const { return engines_; }

private:
    void query(const upstream_record& engine);
    void handle_reply(const upstream_record& engine,
                      const call_outcome& outcome);
    void finish();

    gateway_context& context_;
    std::vector<upstream_record> engines_;
    std::function<void()> done_;
    std::size_t pending_replies_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOAD_PROBE_HPP
