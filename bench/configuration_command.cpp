#include "configuration_command.hpp"

#include "../tests/configuration/fake_log.hpp"
#include "../tests/configuration/sample_changes.hpp"
#include "configuration_store.hpp"
#include "log_tailer.hpp"
#include "operator_commands.hpp"
#include "snapshot_writer.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <vector>

namespace cyclamenrun::bench
{

namespace
{

constexpr int target_teams = 350;
constexpr int target_models = 29;
constexpr double changes_per_day = 1100;
constexpr double seconds_per_day = 86'400;

double milliseconds_of(duration spent)
{
    return std::chrono::duration<double, std::milli>(spent).count();
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values.at(static_cast<std::size_t>(share * last));
}

double thread_cpu_us()
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e6 +
           static_cast<double>(spent.tv_nsec) / 1e3;
}

double process_cpu_us()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * 1e6 +
           static_cast<double>(spent.tv_nsec) / 1e3;
}

std::string numbered(const char* name, int number)
{
    return name + std::to_string(number);
}

/**
 * Configuration of the largest supported deployment: its teams, and for each
 * model a service with two assignments.
 */
std::vector<v1::ChangeRecord> target_changes()
{
    std::vector<v1::ChangeRecord> changes;
    changes.reserve(target_models * 3 + target_teams);
    for (int i = 0; i < target_models; ++i)
        changes.push_back(service_change(numbered("svc-change-", i), 0,
                                         numbered("service-", i)));
    for (int i = 0; i < target_models * 2; ++i)
        changes.push_back(assignment_change(
            numbered("asg-change-", i), 0, numbered("assignment-", i),
            numbered("service-", i % target_models)));
    for (int i = 0; i < target_teams; ++i)
        changes.push_back(team_change(numbered("team-change-", i), 0, 10,
                                      numbered("team-", i)));
    return changes;
}

/** Returns the `number`th change; changes go to the teams in rotation. */
v1::ChangeRecord next_change(const configuration_store& store, int number)
{
    const std::string team = numbered("team-", number % target_teams);
    const auto base =
        store.view()->resources.revision_of(v1::RESOURCE_KIND_TEAM, team);
    return team_change(numbered("change-", number), base,
                       1U + static_cast<std::uint32_t>(number % 1000), team);
}

void append_target(fake_log& log)
{
    for (const auto& change : target_changes())
        log.append(log_record_of(change));
}

/** The log reader of one process, which tails the log on its own thread. */
struct reader {
    explicit reader(fake_log& log)
        : tailer(log, store, {}, steady_now, [] { return 0.5; })
    {
        store.on_change([this](std::uint64_t revision) {
            advanced_at = steady_now();
            seen_revision = revision;
        });
    }

    configuration_store store;
    std::atomic<time_point> advanced_at{time_point{}};
    std::atomic<std::uint64_t> seen_revision{0};
    log_tailer tailer;
};

/** Times from a change's submission or acceptance to its last reader. */
struct propagation_times {
    std::vector<double> after_accepted_ms;
    std::vector<double> after_submit_ms;
    double cpu_us_per_reader = 0;
};

void measure_change(fake_log& log,
                    std::vector<std::unique_ptr<reader>>& readers, int number,
                    propagation_times& times)
{
    configuration_store& store = readers.front()->store;
    operator_commands commands(log, store, steady_now);
    v1::ApplyChangeRequest request;
    *request.mutable_change() = next_change(store, number);
    const time_point submitted = steady_now();
    const auto answer =
        commands.apply_change(request, submitted + std::chrono::minutes(1));
    const time_point accepted = steady_now();
    const auto revision = answer->accepted().revision();
    time_point last = submitted;
    for (const auto& each : readers) {
        each->store.wait_past(revision - 1, accepted + std::chrono::minutes(1));
        while (each->seen_revision < revision)
            std::this_thread::yield();
        last = std::max(last, each->advanced_at.load());
    }
    times.after_submit_ms.push_back(milliseconds_of(last - submitted));
    times.after_accepted_ms.push_back(
        std::max(0.0, milliseconds_of(last - accepted)));
}

propagation_times measure_propagation(int reader_count, int changes)
{
    fake_log log;
    append_target(log);
    std::vector<std::unique_ptr<reader>> readers;
    for (int i = 0; i < reader_count; ++i) {
        readers.push_back(std::make_unique<reader>(log));
        readers.back()->tailer.start();
    }
    for (const auto& each : readers)
        each->store.wait_past(log.end() - 1,
                              steady_now() + std::chrono::minutes(1));
    while (!std::all_of(readers.begin(), readers.end(),
                        [](const auto& each) { return each->store.ready(); }))
        std::this_thread::yield();
    propagation_times times;
    const double cpu_before = process_cpu_us();
    for (int i = 0; i < changes; ++i)
        measure_change(log, readers, i, times);
    times.cpu_us_per_reader =
        (process_cpu_us() - cpu_before) / changes / reader_count;
    log.interrupt();
    for (const auto& each : readers)
        each->tailer.stop();
    return times;
}

/** Returns the slope and intercept of a least squares line. */
std::pair<double, double> fit_line(const std::vector<double>& x,
                                   const std::vector<double>& y)
{
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        sum_x += x[i];
        sum_y += y[i];
        sum_xx += x[i] * x[i];
        sum_xy += x[i] * y[i];
    }
    const auto n = static_cast<double>(x.size());
    const double slope =
        (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
    return {slope, (sum_y - slope * sum_x) / n};
}

void report_propagation(int changes)
{
    std::cout << "readers | after accepted p50, p99 ms | after submit p50, "
                 "p99 ms | cpu us per reader and change\n";
    std::vector<double> counts;
    std::vector<double> p99;
    for (const int count : {3, 30, 300}) {
        const auto times = measure_propagation(count, changes);
        counts.push_back(count);
        p99.push_back(percentile(times.after_submit_ms, 0.99));
        std::cout << std::setw(7) << count << " | "
                  << percentile(times.after_accepted_ms, 0.5) << ", "
                  << percentile(times.after_accepted_ms, 0.99) << " | "
                  << percentile(times.after_submit_ms, 0.5) << ", "
                  << p99.back() << " | " << times.cpu_us_per_reader << '\n';
    }
    const auto [slope, intercept] = fit_line(counts, p99);
    std::cout << "p99 after submit = " << intercept << " ms + " << slope
              << " ms a reader; at 1570: " << intercept + slope * 1570
              << " ms\n";
}

void report_cost()
{
    constexpr int rounds = 2000;
    fake_log log;
    append_target(log);
    configuration_store store;
    log_tailer tailer(log, store, {}, steady_now, [] { return 0.5; });
    while (!store.ready() || store.revision() < log.end())
        tailer.read_once(milliseconds(0));
    double spent = 0;
    std::size_t record_bytes = 0;
    std::size_t delta_bytes = 0;
    for (int i = 0; i < rounds; ++i) {
        const auto revision = store.revision();
        const std::string record = log_record_of(next_change(store, i));
        record_bytes += record.size();
        log.append(record);
        const double before = thread_cpu_us();
        tailer.read_once(milliseconds(0));
        spent += thread_cpu_us() - before;
        delta_bytes += store.delta_after(revision).ByteSizeLong();
    }
    const double cpu = spent / rounds;
    const double bytes = static_cast<double>(record_bytes) / rounds;
    const double delta = static_cast<double>(delta_bytes) / rounds;
    std::cout << "a change: " << bytes << " bytes on the log, " << delta
              << " bytes to an agent, " << cpu << " us of processor time\n"
              << changes_per_day
              << " a day: " << bytes * changes_per_day / seconds_per_day
              << " bytes/s and " << std::setprecision(3)
              << cpu * changes_per_day / seconds_per_day / 1e4
              << "% of a core for a reader\n"
              << std::setprecision(6);
}

std::size_t allocated_bytes()
{
    return mallinfo2().uordblks;
}

std::vector<platform_log_record> target_records()
{
    const auto changes = target_changes();
    std::vector<platform_log_record> records;
    records.reserve(changes.size());
    for (const auto& change : changes)
        records.push_back({records.size(), log_record_of(change)});
    return records;
}

void report_memory()
{
    const std::size_t empty = allocated_bytes();
    auto store = std::make_unique<configuration_store>();
    store->apply(target_records());
    store->set_ready();
    const std::size_t fresh = allocated_bytes() - empty;
    for (int i = 0; i < 2000; ++i)
        store->apply(
            {{store->revision(), log_record_of(next_change(*store, i))}});
    for (int i = 0; i < 1200; ++i) {
        v1::ClaimRecord claim;
        claim.set_upstream(numbered("upstream-vm-", i));
        claim.set_incarnation(static_cast<std::uint64_t>(i) + 1);
        store->apply({{store->revision(), log_record_of(claim)}});
    }
    const std::size_t full = allocated_bytes() - empty;
    std::cout << target_teams << " teams, " << target_models
              << " models: " << fresh / 1024 << " KiB fresh, " << full / 1024
              << " KiB with all outcomes, recent records and 1200 claims kept; "
              << "a snapshot takes " << store->snapshot().ByteSizeLong() / 1024
              << " KiB\n";
}

/** The parts of an entry that use the log, in virtual time. */
struct virtual_entry {
    virtual_entry(fake_log& log, const std::string& name,
                  const clock_function& clock, std::uint64_t& last_id)
        : tailer(log, store, {}, clock, [] { return 0.5; }),
          writer(std::make_shared<snapshot_writer>(
              log, store, name, snapshot_settings{},
              [&last_id] { return ++last_id; }, clock()))
    {
        writer->on_entries({"entry-0", "entry-1", "entry-2"});
        tailer.set_snapshot_writer(writer);
    }

    configuration_store store;
    log_tailer tailer;
    std::shared_ptr<snapshot_writer> writer;
};

/** Three entries in virtual time, which read the log at the idle interval. */
class log_traffic_simulation
{
public:
    log_traffic_simulation()
    {
        append_target(log_);
        for (int i = 0; i < 3; ++i)
            entries_.push_back(std::make_unique<virtual_entry>(
                log_, numbered("entry-", i), [this] { return now_; },
                last_id_));
        // More reads than the log has pages, so that all entries are ready.
        for (int i = 0; i < 10; ++i)
            read_all();
    }

    void run(int days, double daily_changes)
    {
        const int steps =
            days * static_cast<int>(seconds_per_day / step_seconds);
        double due_changes = 0;
        for (int i = 0; i < steps; ++i) {
            for (due_changes += daily_changes / seconds_per_day * step_seconds;
                 due_changes >= 1; due_changes -= 1)
                log_.append(log_record_of(
                    next_change(entries_.front()->store, changes_++)));
            read_all();
            now_ += std::chrono::seconds(step_seconds);
        }
    }

    double appends() const { return static_cast<double>(log_.appends()); }
    double reads() const { return static_cast<double>(log_.reads()); }
    int changes() const { return changes_; }

private:
    static constexpr int step_seconds = 10; // as tail_settings::read_wait

    void read_all()
    {
        for (const auto& entry : entries_)
            entry->tailer.read_once(milliseconds(0));
    }

    fake_log log_;
    time_point now_{};
    std::uint64_t last_id_ = 0;
    int changes_ = 0;
    std::vector<std::unique_ptr<virtual_entry>> entries_;
};

void report_appends(const char* name, double daily_changes)
{
    constexpr int days = 7;
    constexpr double hours = days * 24.0;
    log_traffic_simulation simulated;
    const double appends = simulated.appends();
    const double reads = simulated.reads();
    simulated.run(days, daily_changes);
    const double added = simulated.appends() - appends;
    std::cout << name << ": " << added / hours << " appends an hour, of them "
              << (added - simulated.changes()) / hours << " of snapshots, and "
              << (simulated.reads() - reads) / hours / 3
              << " reads an hour and entry\n";
}

} // namespace

void add_configuration_command(CLI::App& app)
{
    auto* command = app.add_subcommand(
        "configuration",
        "Delay and cost of distributing configuration changes");
    const auto changes = std::make_shared<int>(200);
    command
        ->add_option("--changes", *changes,
                     "changes for each number of readers")
        ->capture_default_str();
    command->callback([changes] {
        report_propagation(*changes);
        report_cost();
        report_memory();
        report_appends("idle", 0);
        report_appends("busy", changes_per_day);
    });
}

} // namespace cyclamenrun::bench
