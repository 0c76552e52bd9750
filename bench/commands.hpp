#ifndef CYCLAMENRUN_BENCH_COMMANDS_HPP
#define CYCLAMENRUN_BENCH_COMMANDS_HPP

namespace CLI // NOLINT(readability-identifier-naming)
{
class App;
}

namespace cyclamenrun::bench
{

/** Policies compared on a fake engine in virtual time. */
void add_decisions_command(CLI::App& app);
/** Processor time of one choice and one admission at target size. */
void add_decision_cost_command(CLI::App& app);
/** Slopes of memory and processor time per role, for docs/CAPACITY.md. */
void add_capacity_command(CLI::App& app);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_COMMANDS_HPP
