#ifndef CYCLAMENRUN_BENCH_PATH_COMMAND_HPP
#define CYCLAMENRUN_BENCH_PATH_COMMAND_HPP

namespace CLI // NOLINT(readability-identifier-naming)
{
class App;
}

namespace cyclamenrun::bench
{

/** Measures what entry and agent add to latency and memory. */
void add_path_command(CLI::App& app);
/** Measures processor time and memory of the links alone. */
void add_links_command(CLI::App& app);
/** Measures latency, memory and idle cost of link connections. */
void add_connections_command(CLI::App& app);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_COMMAND_HPP
