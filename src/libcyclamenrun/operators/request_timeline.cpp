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
    std::string_view about;
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

/** Whether the state is about one upstream and not the whole process. */
bool is_about_one_upstream(std::string_view about)
{
    return about == "upstream";
}

/** Returns the arrival time of a request. A line that is logged at the end of
 * the request contains its duration. */
std::string arrival_time(const parsed_log_line& first)
{
    const bool is_end =
        first.event != name_of(log_event_name::request_admitted);
    const auto took = is_end ? first.field("duration_ms") : std::string();
    long long ms = 0;
    std::from_chars(took.data(), took.data() + took.size(), ms);
    return ms > 0 ? time_before(first.time, ms) : first.time;
}

void print_fields(std::ostream& to, const parsed_log_line& record)
{
    for (const auto& [name, value] : record.fields) {
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
    auto record = parse_log_line(line);
    if (!record)
        return;
    if (record->request_id == request_id_)
        steps_.push_back(std::move(*record));
    else if (record->request_id.empty() &&
             find_state_event(record->event) != nullptr)
        state_events_.push_back(std::move(*record));
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
    const auto moment = arrival_time(*first);
    to << "\nwhat " << process << " believed at " << moment << ":\n";
    // Each feed of the directory is lost and regained separately.
    std::map<std::pair<std::string, std::string>, const parsed_log_line*>
        newest;
    for (const auto& state_event : state_events_) {
        const auto about = find_state_event(state_event.event)->about;
        if (state_event.process == process && state_event.time <= moment &&
            !is_about_one_upstream(about))
            newest[{std::string(about), state_event.field("name")}] =
                &state_event;
    }
    if (newest.empty())
        to << "  nothing is in the logs\n";
    for (const auto& [key, state_event] : newest) {
        const auto ago = ms_between(state_event->time, moment);
        to << "  " << std::left << std::setw(14) << key.first << ' '
           << state_event->event << ' ' << ago.value_or(-1) << " ms before";
        print_fields(to, *state_event);
    }
}

void request_timeline::print_steps(std::ostream& to) const
{
    const auto begin = arrival_time(steps_.front());
    const auto own_processes = processes();
    const auto peers = upstreams();
    auto lines = steps_;
    for (const auto& state_event : state_events_) {
        const bool is_during_request =
            state_event.time >= begin && state_event.time <= steps_.back().time;
        const bool is_relevant =
            !is_about_one_upstream(
                find_state_event(state_event.event)->about) ||
            peers.contains(state_event.field("upstream"));
        if (is_during_request && is_relevant &&
            own_processes.contains(state_event.process))
            lines.push_back(state_event);
    }
    std::stable_sort(lines.begin(), lines.end(), by_time);
    to << "\nwhat happened, in ms since " << begin
       << " (*: not of this request alone):\n";
    for (const auto& line : lines) {
        const auto at = ms_between(begin, line.time);
        to << std::right << std::setw(8) << at.value_or(-1)
           << (line.request_id.empty() ? " * " : "   ") << line.process << ' '
           << line.event;
        print_fields(to, line);
    }
}

} // namespace cyclamenrun
