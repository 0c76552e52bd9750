#include "rejected_messages.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr milliseconds report_interval{1000};

} // namespace

std::string_view name_of(message_problem problem)
{
    switch (problem) {
    case message_problem::malformed:
        return "malformed";
    case message_problem::out_of_range:
        return "out_of_range";
    }
    return "malformed";
}

void rejected_messages::set_reporter(reporter report)
{
    const std::scoped_lock lock(mutex_);
    report_ = std::move(report);
}

void rejected_messages::record(const message_error& error, time_point now)
{
    reporter report;
    std::uint64_t count = 0;
    {
        const std::scoped_lock lock(mutex_);
        auto key = std::pair(error.message, error.problem);
        if (tallies_.size() >= max_kinds && !tallies_.contains(key))
            key.first = "other";
        auto& tally = tallies_[key];
        count = ++tally.count;
        if (now < tally.next_report)
            return;
        tally.next_report = now + report_interval;
        report = report_;
    }
    if (report)
        report(error, count);
}

std::map<std::pair<std::string, message_problem>, std::uint64_t>
rejected_messages::counts() const
{
    const std::scoped_lock lock(mutex_);
    std::map<std::pair<std::string, message_problem>, std::uint64_t> counts;
    for (const auto& [key, tally] : tallies_)
        counts[key] = tally.count;
    return counts;
}

rejected_messages& process_rejected_messages()
{
    static rejected_messages rejected;
    return rejected;
}

} // namespace cyclamenrun
