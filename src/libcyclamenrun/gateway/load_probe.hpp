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
 * Asks a few engines themselves for their load, where no monitor is heard that
 * would say whether a generation may start. What they answer goes to the
 * board. Answers the load of a fleet without monitors: gateways that know
 * their own requests only send prompts to engines that read others' for
 * seconds.
 */
class load_probe : public std::enable_shared_from_this<load_probe>
{
public:
    /** `done` is called once, when all have answered or time is up. */
    load_probe(gateway_context& context, std::vector<upstream_record> engines,
               std::function<void()> done);

    void start();
    /** The answers are not wanted any more. */
    void cancel() { done_ = nullptr; }

    const std::vector<upstream_record>& engines() const { return engines_; }

private:
    void ask(const upstream_record& engine);
    void take(const upstream_record& engine, const call_outcome& outcome);
    void finish();

    gateway_context& context_;
    std::vector<upstream_record> engines_;
    std::function<void()> done_;
    std::size_t unanswered_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOAD_PROBE_HPP
