#include "request_timeline.hpp"

#include "log_event_name.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <iomanip>
#include <map>
#include <optional>
#include <ostream>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** A log event that changes a part of a process's state. */
struct state_event_row {
    std::string_view part; ///< name of the part, as printed
    log_event_name event;
};

constexpr std::array state_events{
    state_event_row{"process", log_event_name::process_started},
    state_event_row{"process", log_event_name::process_ready},
    state_event_row{"process", log_event_name::process_stopping},
    state_event_row{"configuration", log_event_name::configuration_applied},
    state_event_row{"lease", log_event_name::lease_renewed},
    state_event_row{"lease", log_event_name::lease_ended},
    state_event_row{"directory", log_event_name::directory_lost},
    state_event_row{"directory", log_event_name::directory_regained},
    state_event_row{"settings", log_event_name::settings_reloaded},
    state_event_row{"crashes", log_event_name::crash_seen},
    state_event_row{"upstream", log_event_name::upstream_leaving},
    state_event_row{"upstream", log_event_name::upstream_lost},
    state_event_row{"upstream", log_event_name::upstream_recovered},
    state_event_row{"log", log_event_name::log_lines_dropped},
};

const state_event_row* find_state_event(const std::string& event)
{
    const auto found = std::find_if(
        state_events.begin(), state_events.end(),
        [&](const auto& row) { return name_of(row.event) == event; });
    return found == state_events.end() ? nullptr : &*found;
}

/** Returns whether this part of the state exists once for each upstream. */
bool is_state_of_upstream(std::string_view part)
{
    return part == "upstream";
}

/**
 * Returns the arrival time of a request. A line that is logged at the end of
 * the request contains its duration.
 */
std::string arrival_time(const parsed_log_line& first)
{
    const bool is_end =
        first.event != name_of(log_event_name::request_admitted);
    const auto duration_ms =
        is_end ? first.field("duration_ms") : std::string();
    long long ms = 0;
    std::from_chars(duration_ms.data(), duration_ms.data() + duration_ms.size(),
                    ms);
    return ms > 0 ? time_before(first.time, ms) : first.time;
}

void print_fields(std::ostream& to, const parsed_log_line& line)
{
    for (const auto& [name, value] : line.fields) {
        if (!value.empty())
            to << ' ' << name << '=' << value;
    }
    to << '\n';
}

bool by_time(const parsed_log_line& left, const parsed_log_line& right)
{
    return left.time < right.time;
}

} // namespace

void request_timeline::add_line(const std::string& line)
{
    auto parsed = parse_log_line(line);
    if (!parsed)
        return;
    if (parsed->request_id == request_id_)
        steps_.push_back(std::move(*parsed));
    else if (parsed->request_id.empty() &&
             find_state_event(parsed->event) != nullptr)
        state_events_.push_back(std::move(*parsed));
}

void request_timeline::sort()
{
    std::stable_sort(steps_.begin(), steps_.end(), by_time);
    std::stable_sort(state_events_.begin(), state_events_.end(), by_time);
}

std::set<std::string> request_timeline::processes() const
{
    std::set<std::string> names;
    for (const auto& step : steps_)
        names.insert(step.process);
    return names;
}

std::set<std::string> request_timeline::upstreams() const
{
    std::set<std::string> names;
    for (const auto& step : steps_) {
        names.insert(step.field("upstream"));
        // The event of a move has the source in `name`.
        names.insert(step.field("name"));
    }
    names.erase("");
    return names;
}

void request_timeline::print(std::ostream& to)
{
    sort();
    to << "request " << request_id_ << '\n';
    for (const auto& process : processes())
        print_initial_state(to, process);
    print_steps(to);
}

void request_timeline::print_initial_state(std::ostream& to,
                                           const std::string& process) const
{
    const auto first = std::find_if(
        steps_.begin(), steps_.end(),
        [&](const parsed_log_line& step) { return step.process == process; });
    const auto arrival = arrival_time(*first);
    to << "\nstate of " << process << " at " << arrival << ":\n";
    // The key contains the name of the feed, since each feed of the directory
    // is lost and regained separately.
    std::map<std::pair<std::string, std::string>, const parsed_log_line*>
        newest;
    for (const auto& state_event : state_events_) {
        const auto part = find_state_event(state_event.event)->part;
        if (state_event.process == process && state_event.time <= arrival &&
            !is_state_of_upstream(part))
            newest[{std::string(part), state_event.field("name")}] =
                &state_event;
    }
    if (newest.empty())
        to << "  nothing is in the logs\n";
    for (const auto& [key, state_event] : newest) {
        const auto age_ms = ms_between(state_event->time, arrival);
        to << "  " << std::left << std::setw(14) << key.first << ' '
           << state_event->event << ' ' << age_ms.value_or(-1) << " ms before";
        print_fields(to, *state_event);
    }
}

void request_timeline::print_steps(std::ostream& to) const
{
    const auto begin = arrival_time(steps_.front());
    const auto own_processes = processes();
    const auto own_upstreams = upstreams();
    auto lines = steps_;
    for (const auto& state_event : state_events_) {
        const bool is_during_request =
            state_event.time >= begin && state_event.time <= steps_.back().time;
        const bool is_relevant =
            !is_state_of_upstream(find_state_event(state_event.event)->part) ||
            own_upstreams.contains(state_event.field("upstream"));
        if (is_during_request && is_relevant &&
            own_processes.contains(state_event.process))
            lines.push_back(state_event);
    }
    std::stable_sort(lines.begin(), lines.end(), by_time);
    to << "\nwhat happened, in ms since " << begin
       << " (*: not of this request alone):\n";
    for (const auto& line : lines) {
        const auto offset_ms = ms_between(begin, line.time);
        to << std::right << std::setw(8) << offset_ms.value_or(-1)
           << (line.request_id.empty() ? " * " : "   ") << line.process << ' '
           << line.event;
        print_fields(to, line);
    }
}

} // namespace cyclamenrun
