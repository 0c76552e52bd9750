#include "commands.hpp"
#include "configuration_command.hpp"
#include "path_command.hpp"

#include <CLI/CLI.hpp>

int main(int argc, char** argv)
{
    CLI::App app("Benchmarks of cyclamenrun; see docs/MEASURES.md");
    app.require_subcommand(1);
    cyclamenrun::bench::add_decisions_command(app);
    cyclamenrun::bench::add_decision_cost_command(app);
    cyclamenrun::bench::add_capacity_command(app);
    cyclamenrun::bench::add_path_command(app);
    cyclamenrun::bench::add_links_command(app);
    cyclamenrun::bench::add_configuration_command(app);
    cyclamenrun::bench::add_connections_command(app);
    CLI11_PARSE(app, argc, argv);
    return 0;
}
