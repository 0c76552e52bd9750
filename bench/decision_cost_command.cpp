#include "admission.hpp"
#include "commands.hpp"
#include "digest.hpp"
#include "router.hpp"

#include <CLI/CLI.hpp>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <memory>

namespace cyclamenrun::bench
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t rounds = 20'000;
const time_point begin = time_point{} + 1h;

/** Size of a deployment whose decisions are measured. */
struct cost_size {
    std::size_t upstreams;
    std::size_t teams;
};

/** Processor time of this thread, unaffected by other processes. */
duration processor_time()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds(spent.tv_sec) +
           std::chrono::nanoseconds(spent.tv_nsec);
}

double microseconds_each(duration spent, std::size_t count)
{
    return std::chrono::duration<double, std::micro>(spent).count() /
           static_cast<double>(count);
}

std::vector<std::uint64_t> prefix_of(std::size_t team)
{
    std::vector<std::uint64_t> blocks;
    for (std::uint64_t block = 0; block < 12; ++block)
        blocks.push_back(hash64("block", team * 64 + block));
    return blocks;
}

std::vector<candidate> make_candidates(std::size_t count)
{
    std::vector<candidate> candidates;
    for (std::size_t i = 0; i < count; ++i) {
        candidate one;
        one.upstream = "runner-" + std::to_string(i);
        one.failure_domain = "domain-" + std::to_string(i % 14);
        one.region = "region-" + std::to_string(i % 4);
        one.hash = hash64(one.upstream);
        candidates.push_back(one);
    }
    return candidates;
}

void report_all(router& routes, std::span<const candidate> candidates)
{
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        load_report load;
        load.upstream = candidates[i].upstream;
        load.uptime = 1s;
        load.running = i % 40;
        load.memory_tokens_used = 800 * (i % 40);
        load.memory_tokens_total = 32'768;
        routes.update_report(load, begin);
    }
}

/** Cost of one choice, dispatch and completion, in microseconds. */
double choose_cost(const cost_size& size)
{
    const auto candidates = make_candidates(size.upstreams);
    router routes({}, 1);
    report_all(routes, candidates);
    std::vector<route_request> requests(size.teams);
    for (std::size_t i = 0; i < size.teams; ++i) {
        requests[i].service = "redactor";
        requests[i].team = "team-" + std::to_string(i);
        requests[i].prompt_tokens = 900;
        requests[i].prefix_blocks = prefix_of(i);
        requests[i].own_region = "region-0";
        requests[i].own_failure_domain = "domain-0";
    }
    const duration before = processor_time();
    for (std::size_t i = 0; i < rounds; ++i) {
        const auto& request = requests[i % size.teams];
        const time_point now = begin + i * 1ms;
        const auto chosen = routes.choose(request, candidates, now);
        routes.record_dispatch(candidates[*chosen].upstream, request, now);
        routes.record_completion(candidates[*chosen].upstream, now);
    }
    return microseconds_each(processor_time() - before, rounds);
}

waiting_work work_of(work_id id, std::size_t teams, time_point now)
{
    waiting_work work;
    work.id = id;
    work.team = "team-" + std::to_string(id % teams);
    work.service = "redactor";
    work.prompt_tokens = 900;
    work.max_output_tokens = 16'384;
    work.prefix_blocks = prefix_of(id % teams);
    work.deadline = now + 10min;
    return work;
}

/** Cost of one enqueue, admit and finish on a loaded queue, in microseconds. */
double admit_cost(const cost_size& size)
{
    admission_settings settings;
    settings.memory_tokens = 40'000;
    settings.max_queued = 100'000;
    settings.max_queued_prompt_tokens = 1'000'000'000;
    settings.max_wait = 24h;
    settings.max_teams = 2'048;
    admission queue(settings);
    std::deque<work_id> running;
    work_id next = 0;
    std::vector<waiting_work> work_items;
    for (; next < rounds + 2 * size.teams; ++next)
        work_items.push_back(work_of(next, size.teams, begin));
    next = 0;
    for (; next < 2 * size.teams; ++next)
        std::ignore = queue.enqueue(work_items[next], begin);
    const duration before = processor_time();
    for (std::size_t i = 0; i < rounds; ++i) {
        const time_point now = begin + i * 1ms;
        std::ignore = queue.enqueue(std::move(work_items[next++]), now);
        for (const work_id id : queue.admit(now)) {
            running.push_back(id);
            queue.record_output_tokens(id, 1 + id % 300, now);
        }
        if (running.empty())
            continue;
        queue.record_end(running.front(), true, now);
        running.pop_front();
    }
    return microseconds_each(processor_time() - before, rounds);
}

void run()
{
    constexpr cost_size sizes[] = {
        {10, 10}, {64, 50}, {300, 100}, {1'200, 350}};
    std::cout << "runners  teams  us/choose+dispatch  "
                 "us/enqueue+admit+finish\n";
    for (const auto& size : sizes)
        std::cout << std::setw(7) << size.upstreams << std::setw(7)
                  << size.teams << std::fixed << std::setprecision(2)
                  << std::setw(20) << choose_cost(size) << std::setw(25)
                  << admit_cost(size) << '\n';
}

} // namespace

void add_decision_cost_command(CLI::App& app)
{
    auto* command = app.add_subcommand(
        "decision-cost", "Processor time of one choice and one admission");
    command->callback([] { run(); });
}

} // namespace cyclamenrun::bench
