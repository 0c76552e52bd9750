#ifndef CYCLAMENRUN_BENCH_COMMANDS_HPP
#define CYCLAMENRUN_BENCH_COMMANDS_HPP

namespace CLI // NOLINT(readability-identifier-naming)
{
class App;
}

namespace cyclamenrun::bench
{

/** Compares policies on fake engines in virtual time. */
void add_decisions_command(CLI::App& app);
/**
 * Measures the processor time of one choice and one admission at several sizes,
 * up to the largest supported deployment.
 */
void add_decision_cost_command(CLI::App& app);
/** Measures memory and processor time per role, for docs/CAPACITY.md. */
void add_capacity_command(CLI::App& app);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_COMMANDS_HPP
