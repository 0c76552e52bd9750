#include "path_command.hpp"

#include "path_bench.hpp"
#include "path_connections.hpp"
#include "path_links.hpp"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <iomanip>
#include <iostream>
#include <memory>
#include <stdexcept>

namespace cyclamenrun::bench
{

namespace
{

void print_row(const std::string& quantity, const path_samples& direct,
               const path_samples& through)
{
    for (const double share : {0.5, 0.99}) {
        const double direct_value = direct.quantile(share);
        const double through_value = through.quantile(share);
        std::cout << std::left << std::setw(16) << quantity
                  << (share < 0.9 ? "p50" : "p99") << std::right
                  << std::setw(10) << direct_value << std::setw(10)
                  << through_value << std::setw(10)
                  << through_value - direct_value << '\n';
    }
}

void print_process(const process_use& use, const path_settings& settings,
                   std::uint64_t tokens)
{
    const auto added = static_cast<double>(use.kilobytes_during) -
                       static_cast<double>(use.kilobytes_before);
    std::cout << "process " << use.pid << ": " << use.kilobytes_before
              << " KB before, " << use.kilobytes_during << " KB during, "
              << std::setprecision(1)
              << added / static_cast<double>(settings.streams)
              << " KB a stream; " << std::setprecision(2)
              << use.processor_seconds << " s of processor, "
              << std::setprecision(1)
              << use.processor_seconds * 1e6 / static_cast<double>(tokens)
              << " us a token\n";
}

void print(const path_settings& settings, const path_result& result)
{
    std::cout << std::fixed << std::setprecision(2) << "milliseconds"
              << std::setw(17) << "direct" << std::setw(10) << "through"
              << std::setw(10) << "added" << '\n'
              << std::setprecision(3);
    print_row("first token", result.direct.first_token,
              result.through.first_token);
    print_row("between tokens", result.direct.between_tokens,
              result.through.between_tokens);
    const path_samples& pairs = result.first_token_added;
    std::cout << "first token, added within each of " << pairs.count()
              << " pairs: p50 " << pairs.quantile(0.5) << " mean "
              << pairs.mean() << " p99 " << pairs.quantile(0.99) << '\n';
    for (const path_target* target : {&result.direct, &result.through})
        std::cout << (target == &result.direct ? "direct: " : "through: ")
                  << target->tokens << " tokens, " << target->complete
                  << " streams complete, " << target->broken << " broken\n";
    for (const process_use& use : result.processes)
        print_process(use, settings, result.through.tokens);
}

/** Fails the command if a stream broke or no token arrived. */
void check(const path_result& result)
{
    for (const path_target* target : {&result.direct, &result.through})
        if (target->broken > 0 || target->tokens == 0)
            throw CLI::RuntimeError("streams were refused or cut", 1);
}

/** Reports invalid settings and addresses as usage errors of the command. */
template <typename Measure>
void run_with_usage_errors(const Measure& measure)
{
    try {
        measure();
    } catch (const std::invalid_argument& error) {
        throw CLI::ValidationError(error.what());
    } catch (const Poco::Exception& error) {
        throw CLI::ValidationError(error.displayText());
    }
}

} // namespace

void add_path_command(CLI::App& app)
{
    struct options {
        path_settings settings;
        std::string direct;
        std::string through;
        std::int64_t seconds = 10;
    };
    const auto parsed = std::make_shared<options>();
    CLI::App* command = app.add_subcommand(
        "path", "Latency and cost that entry and agent add to the engine's");
    command->add_option("--direct", parsed->direct, "IP:PORT of the engine")
        ->required();
    command->add_option("--through", parsed->through, "IP:PORT of the entry")
        ->required();
    command->add_option("--streams", parsed->settings.streams,
                        "concurrent streams to each target, up to 2000");
    command->add_option("--seconds", parsed->seconds, "up to 120");
    command->add_option("--key", parsed->settings.key, "the team's bearer key")
        ->required();
    command
        ->add_option("--model", parsed->settings.model, "name of the service")
        ->required();
    command->add_option("--prompt-words", parsed->settings.prompt_words,
                        "words of each prompt");
    command->add_option("--output-tokens", parsed->settings.output_tokens,
                        "tokens of each answer");
    command
        ->add_option("--pids", parsed->settings.pids,
                     "processes whose memory and processor time are measured")
        ->delimiter(',');
    command->callback([parsed] {
        run_with_usage_errors([&] {
            path_settings settings = parsed->settings;
            settings.direct = Poco::Net::SocketAddress(parsed->direct);
            settings.through = Poco::Net::SocketAddress(parsed->through);
            settings.time = std::chrono::seconds(parsed->seconds);
            const path_result result = measure_path(settings);
            print(settings, result);
            check(result);
        });
    });
}

void add_links_command(CLI::App& app)
{
    const auto settings = std::make_shared<links_settings>();
    CLI::App* command = app.add_subcommand(
        "links", "Processor time and memory of the links alone");
    command->add_option("--streams", settings->streams, "1 to 4000");
    command->add_option("--rate", settings->tokens_per_second,
                        "tokens a second of each stream");
    command->add_option("--token-bytes", settings->token_bytes,
                        "of each frame");
    command->callback([settings] {
        run_with_usage_errors([&] {
            const links_result result = measure_links(*settings);
            std::cout << std::fixed << std::setprecision(2) << result.frames
                      << " frames; microseconds a frame: client "
                      << result.client_microseconds << ", server "
                      << result.server_microseconds << ", maker "
                      << result.producer_microseconds << "; delay p50 "
                      << result.delay.quantile(0.5) << " p99 "
                      << result.delay.quantile(0.99)
                      << " microseconds; heap of both ends "
                      << result.bytes_per_stream << " bytes a stream\n";
        });
    });
}

void add_connections_command(CLI::App& app)
{
    struct options {
        connections_settings settings;
        std::int64_t idle = 30;
    };
    const auto parsed = std::make_shared<options>();
    CLI::App* command = app.add_subcommand(
        "connections", "Latency, memory and idle cost of link connections");
    command->add_option("--connections", parsed->settings.connections,
                        "1 to 1000");
    command->add_option("--idle", parsed->idle,
                        "idle time in seconds, up to 120");
    command->callback([parsed] {
        run_with_usage_errors([&] {
            connections_settings settings = parsed->settings;
            settings.idle = std::chrono::seconds(parsed->idle);
            const connections_result result = measure_connections(settings);
            std::cout << std::fixed << std::setprecision(3)
                      << "first answer with connect and handshake: p50 "
                      << result.first_answer.quantile(0.5) << " p99 "
                      << result.first_answer.quantile(0.99)
                      << " ms; next answer: p50 "
                      << result.next_answer.quantile(0.5) << " p99 "
                      << result.next_answer.quantile(0.99)
                      << " ms; heap of both ends "
                      << result.bytes_per_connection
                      << " bytes a connection; idle "
                      << result.idle_microseconds
                      << " us of processor a second and connection\n";
        });
    });
}

} // namespace cyclamenrun::bench
