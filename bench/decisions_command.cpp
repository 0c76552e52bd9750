#include "commands.hpp"
#include "trial.hpp"

#include <CLI/CLI.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

namespace cyclamenrun::bench
{

namespace
{

struct decisions_options {
    std::string deployment_name = "amianto";
    std::string policy_name = "all";
    std::vector<double> loads = {1.0};
    std::string seeds = "1..5";
    std::string lengths_file;
    std::string fault = "none";
    std::vector<std::string> without;
    std::optional<double> overflow_bound;
    std::optional<double> short_first;
    double warm_up_s = 120;
    double window_s = 240;
    std::optional<std::size_t> engines;
    unsigned jobs = 1;
    bool json = false;
};

struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

/** Mean over seeds and half the width of its 95% confidence interval. */
struct estimate {
    double mean = 0;
    double half_width = 0;
};

struct named_policy {
    std::string name;
    policy tested_policy;
};

seed_range parse_seeds(const std::string& text)
{
    seed_range range;
    const auto dots = text.find("..");
    range.first = std::stoull(text.substr(0, dots));
    range.last = dots == std::string::npos ? range.first
                                           : std::stoull(text.substr(dots + 2));
    return range;
}

std::vector<named_policy> policies_of(const decisions_options& options)
{
    std::vector<named_policy> tested_policies;
    const bool all = options.policy_name == "all";
    for (const auto kind : {policy_kind::round_robin, policy_kind::least_load,
                            policy_kind::cyclamenrun, policy_kind::oracle}) {
        if (!all && options.policy_name != name_of(kind))
            continue;
        named_policy one{std::string(name_of(kind)), {}};
        one.tested_policy.kind = kind;
        tested_policies.push_back(one);
    }
    // "--policy parts": cyclamenrun complete, then without each of its parts.
    if (options.policy_name == "parts") {
        tested_policies.push_back({"cyclamenrun", {}});
        for (const char* part :
             {"prediction", "prefix", "fair_share", "own_counts"}) {
            named_policy one{std::string("-") + part, {}};
            disable_part(one.tested_policy, part);
            tested_policies.push_back(one);
        }
    }
    for (auto& one : tested_policies) {
        one.tested_policy.overflow_bound = options.overflow_bound;
        one.tested_policy.short_first = options.short_first;
        for (const auto& part : options.without) {
            if (one.tested_policy.kind != policy_kind::cyclamenrun)
                continue;
            disable_part(one.tested_policy, part);
            one.name += "-" + part;
        }
    }
    return tested_policies;
}

/** Two-sided 95% quantile of Student's t by degrees of freedom. */
double student_t(std::size_t degrees_of_freedom)
{
    constexpr double table[] = {12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36,
                                2.31,  2.26, 2.23, 2.20, 2.18, 2.16, 2.14,
                                2.13,  2.12, 2.11, 2.10, 2.09, 2.09};
    const std::size_t last = std::size(table) - 1;
    return degrees_of_freedom == 0
               ? 0
               : table[std::min(degrees_of_freedom - 1, last)];
}

estimate estimate_of(const std::vector<double>& values)
{
    const auto count = static_cast<double>(values.size());
    estimate result;
    for (const double value : values)
        result.mean += value / count;
    double squares = 0;
    for (const double value : values)
        squares += (value - result.mean) * (value - result.mean);
    if (values.size() > 1)
        result.half_width = student_t(values.size() - 1) *
                            std::sqrt(squares / (count - 1) / count);
    return result;
}

/** Runs all seeds on `jobs` threads; returns an estimate of each figure. */
std::vector<std::pair<std::string, estimate>>
run_seeds(const trial_settings& common, const seed_range& seeds, unsigned jobs)
{
    const std::size_t count = seeds.last - seeds.first + 1;
    std::vector<std::vector<figure>> runs(count);
    std::vector<std::jthread> threads;
    for (unsigned job = 0; job < jobs; ++job)
        threads.emplace_back([&, job] {
            for (std::size_t i = job; i < count; i += jobs) {
                trial_settings settings = common;
                settings.seed = seeds.first + i;
                runs[i] = figures_of(run_trial(settings));
            }
        });
    threads.clear();

    std::vector<std::pair<std::string, estimate>> result;
    for (std::size_t row = 0; row < runs.front().size(); ++row) {
        std::vector<double> values;
        values.reserve(count);
        for (const auto& run : runs)
            values.push_back(run[row].value);
        result.emplace_back(runs.front()[row].name, estimate_of(values));
    }
    return result;
}

void print_table(
    const std::vector<std::string>& names,
    const std::vector<std::vector<std::pair<std::string, estimate>>>& columns)
{
    std::cout << std::left << std::setw(19) << "measure";
    for (const auto& name : names)
        std::cout << std::right << std::setw(24) << name;
    std::cout << '\n';
    for (std::size_t row = 0; row < columns.front().size(); ++row) {
        std::cout << std::left << std::setw(19) << columns.front()[row].first;
        for (const auto& column : columns) {
            std::ostringstream cell;
            cell << std::fixed << std::setprecision(2)
                 << column[row].second.mean << " ± "
                 << column[row].second.half_width;
            // The ± sign has two bytes in UTF-8 but fills one column.
            std::cout << std::right << std::setw(25) << cell.str();
        }
        std::cout << '\n';
    }
}

void print_json(const decisions_options& options, double load,
                const std::string& name,
                const std::vector<std::pair<std::string, estimate>>& column)
{
    std::cout << "{\"deployment\":\"" << options.deployment_name
              << "\",\"load\":" << load << ",\"fault\":\"" << options.fault
              << "\",\"policy\":\"" << name << '"';
    for (const auto& [measure, value] : column)
        std::cout << ",\"" << measure << "\":{\"mean\":" << value.mean
                  << ",\"half_width\":" << value.half_width << '}';
    std::cout << "}\n";
}

void run(const decisions_options& options)
{
    const auto deployment = deployment_of(options.deployment_name);
    const auto fault = fault_kind_of(options.fault);
    const auto policies = policies_of(options);
    const seed_range seeds = parse_seeds(options.seeds);
    if (!deployment || !fault || policies.empty() || seeds.last < seeds.first)
        throw CLI::ValidationError("deployment, fault, policy or seeds");

    trial_settings settings;
    settings.tested_deployment = *deployment;
    settings.tested_deployment.engines =
        options.engines.value_or(deployment->engines);
    settings.fault = *fault;
    settings.warm_up_s = options.warm_up_s;
    settings.window_s = options.window_s;
    if (!options.lengths_file.empty()) {
        settings.lengths = read_lengths(options.lengths_file);
        if (settings.lengths.empty())
            throw CLI::ValidationError("no rows in " + options.lengths_file);
    }
    const double capacity = measured_capacity(
        settings.tested_deployment, settings.engine, settings.lengths);
    for (const double load : options.loads) {
        settings.requests_per_second = load * capacity;
        if (!options.json)
            std::cout << "\n"
                      << options.deployment_name << ", load " << load << " = "
                      << settings.requests_per_second << " requests/s, fault "
                      << options.fault << ", seeds " << options.seeds << "\n";
        std::vector<std::string> names;
        std::vector<std::vector<std::pair<std::string, estimate>>> columns;
        for (const auto& one : policies) {
            settings.tested_policy = one.tested_policy;
            names.push_back(one.name);
            columns.push_back(run_seeds(settings, seeds, options.jobs));
            if (options.json)
                print_json(options, load, one.name, columns.back());
        }
        if (!options.json)
            print_table(names, columns);
        std::cout.flush();
    }
}

} // namespace

void add_decisions_command(CLI::App& app)
{
    auto* command = app.add_subcommand(
        "decisions", "Policies compared on fake engines in virtual time");
    auto options = std::make_shared<decisions_options>();
    command->add_option("--deployment", options->deployment_name,
                        "amianto or guatemala");
    command->add_option("--policy", options->policy_name,
                        "round_robin, least_load, cyclamenrun, oracle; all of "
                        "these; or parts: cyclamenrun without each part");
    command->add_option("--load", options->loads,
                        "offered loads as shares of the measured capacity");
    command->add_option("--seeds", options->seeds, "A..B");
    command->add_option("--lengths", options->lengths_file,
                        "CSV of prompt_tokens,output_tokens to draw from");
    command->add_option("--fault", options->fault)
        ->check(CLI::IsMember(fault_names()));
    command
        ->add_option("--without", options->without,
                     "parts of cyclamenrun to disable")
        ->delimiter(',')
        ->check(CLI::IsMember(std::vector<std::string>{
            "prediction", "prefix", "fair_share", "own_counts"}));
    command->add_option("--overflow-bound", options->overflow_bound,
                        "accepted overflow risk, overrides the objective's");
    command->add_option(
        "--short-first", options->short_first,
        "preference for short answers, overrides the objective's");
    command->add_option("--warm-up", options->warm_up_s, "seconds");
    command->add_option("--window", options->window_s,
                        "seconds of arrivals that count");
    command->add_option("--runners", options->engines,
                        "number of engines, overrides the deployment's");
    command
        ->add_option("--jobs", options->jobs,
                     "threads, each runs one seed at a time")
        ->check(CLI::Range(1U, 64U));
    command->add_flag("--json", options->json,
                      "print one JSON line per policy");
    command->callback([options] { run(*options); });
}

} // namespace cyclamenrun::bench
