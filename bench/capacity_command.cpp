#include "capacity_probes.hpp"
#include "commands.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>

namespace cyclamenrun::bench
{

namespace
{

void print_table(const std::vector<capacity_slope>& slopes)
{
    std::printf("| role | what | unit | sizes | base | slope | residual |\n"
                "|---|---|---|---|---|---|---|\n");
    for (const auto& slope : slopes) {
        std::string sizes;
        for (const auto& point : slope.points)
            sizes += (sizes.empty() ? "" : ", ") +
                     std::to_string(static_cast<long>(point.size));
        std::printf("| %s | %s | %s | %s | %.2f | %.4f | %.1f%% |\n",
                    slope.role.c_str(), slope.quantity.c_str(),
                    slope.unit.c_str(), sizes.c_str(), slope.fit.base,
                    slope.fit.slope, slope.fit.residual * 100.0);
    }
}

void print_constants(const std::vector<capacity_constant>& constants)
{
    std::printf("\n| role | what | unit | value |\n|---|---|---|---|\n");
    for (const auto& constant : constants)
        std::printf("| %s | %s | %s | %.3f |\n", constant.role.c_str(),
                    constant.quantity.c_str(), constant.unit.c_str(),
                    constant.value);
}

} // namespace

void add_capacity_command(CLI::App& app)
{
    auto* command = app.add_subcommand(
        "capacity", "Memory and processor time of entries and agents by size");
    command->callback([] {
        print_table(measure_slopes());
        print_constants(measure_constants());
    });
}

} // namespace cyclamenrun::bench
