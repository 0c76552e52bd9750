#ifndef CYCLAMENRUN_BENCH_PATH_COMMAND_HPP
#define CYCLAMENRUN_BENCH_PATH_COMMAND_HPP

namespace CLI // NOLINT(readability-identifier-naming)
{
class App;
}

namespace cyclamenrun::bench
{

/** What entry and agent add to first token, gaps and memory. */
void add_path_command(CLI::App& app);
/** Processor time and memory of the links alone. */
void add_links_command(CLI::App& app);
/** Time and memory of links' connections, and their cost at rest. */
void add_connections_command(CLI::App& app);

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_COMMAND_HPP
