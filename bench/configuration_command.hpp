#ifndef CYCLAMENRUN_BENCH_CONFIGURATION_COMMAND_HPP
#define CYCLAMENRUN_BENCH_CONFIGURATION_COMMAND_HPP

namespace CLI // NOLINT(readability-identifier-naming)
{
class App;
}

namespace cyclamenrun::bench
{

/** Measures the delay and cost of distributing configuration changes. */
void add_configuration_command(CLI::App& app);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_CONFIGURATION_COMMAND_HPP
