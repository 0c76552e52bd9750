#include "request_story.hpp"

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
struct belief_row {
    std::string_view about;
    log_event_name event;
};

constexpr std::array beliefs{
    belief_row{"process", log_event_name::process_started},
    belief_row{"process", log_event_name::process_ready},
    belief_row{"process", log_event_name::process_stopping},
    belief_row{"configuration", log_event_name::configuration_applied},
    belief_row{"lease", log_event_name::lease_renewed},
    belief_row{"lease", log_event_name::lease_ended},
    belief_row{"directory", log_event_name::directory_lost},
    belief_row{"directory", log_event_name::directory_regained},
    belief_row{"settings", log_event_name::settings_reloaded},
    belief_row{"crashes", log_event_name::crash_seen},
    belief_row{"upstream", log_event_name::upstream_leaving},
    belief_row{"upstream", log_event_name::upstream_lost},
    belief_row{"upstream", log_event_name::upstream_recovered},
    belief_row{"log", log_event_name::log_lines_dropped},
};

const belief_row* belief_of(const std::string& event)
{
    const auto found =
        std::find_if(beliefs.begin(), beliefs.end(), [&](const auto& row) {
            return name_of(row.event) == event;
        });
    return found == beliefs.end() ? nullptr : &*found;
}

/** Whether the state is about one upstream and not the whole process. */
bool is_of_one_peer(std::string_view about)
{
    return about == "upstream";
}

/** Returns the arrival time of a request. A line that is logged at the end of
 * the request contains its duration. */
std::string came_at(const log_record& first)
{
    const bool is_end =
        first.event != name_of(log_event_name::request_admitted);
    const auto took = is_end ? first.field("duration_ms") : std::string();
    long long ms = 0;
    std::from_chars(took.data(), took.data() + took.size(), ms);
    return ms > 0 ? time_before(first.time, ms) : first.time;
}

void print_fields(std::ostream& to, const log_record& record)
{
    for (const auto& [name, value] : record.fields) {
        if (!value.empty())
            to << ' ' << name << '=' << value;
    }
    to << '\n';
}

bool by_time(const log_record& left, const log_record& right)
{
    return left.time < right.time;
}

} // namespace

void request_story::take(const std::string& line)
{
    auto record = read_log_record(line);
    if (!record)
        return;
    if (record->request_id == request_id_)
        steps_.push_back(std::move(*record));
    else if (record->request_id.empty() && belief_of(record->event) != nullptr)
        beliefs_.push_back(std::move(*record));
}

void request_story::sort()
{
    std::stable_sort(steps_.begin(), steps_.end(), by_time);
    std::stable_sort(beliefs_.begin(), beliefs_.end(), by_time);
}

std::set<std::string> request_story::processes() const
{
    std::set<std::string> names;
    for (const auto& step : steps_)
        names.insert(step.process);
    return names;
}

std::set<std::string> request_story::upstreams() const
{
    std::set<std::string> names;
    for (const auto& step : steps_) {
        names.insert(step.field("upstream"));
        names.insert(step.field("name"));
    }
    names.erase("");
    return names;
}

void request_story::print(std::ostream& to)
{
    sort();
    to << "request " << request_id_ << '\n';
    for (const auto& process : processes())
        print_beliefs(to, process);
    print_steps(to);
}

void request_story::print_beliefs(std::ostream& to,
                                  const std::string& process) const
{
    const auto first =
        std::find_if(steps_.begin(), steps_.end(), [&](const log_record& step) {
            return step.process == process;
        });
    const auto moment = came_at(*first);
    to << "\nwhat " << process << " believed at " << moment << ":\n";
    // Each feed of the directory is lost and regained separately.
    std::map<std::pair<std::string, std::string>, const log_record*> newest;
    for (const auto& belief : beliefs_) {
        const auto about = belief_of(belief.event)->about;
        if (belief.process == process && belief.time <= moment &&
            !is_of_one_peer(about))
            newest[{std::string(about), belief.field("name")}] = &belief;
    }
    if (newest.empty())
        to << "  nothing is in the logs\n";
    for (const auto& [key, belief] : newest) {
        const auto ago = ms_between(belief->time, moment);
        to << "  " << std::left << std::setw(14) << key.first << ' '
           << belief->event << ' ' << ago.value_or(-1) << " ms before";
        print_fields(to, *belief);
    }
}

void request_story::print_steps(std::ostream& to) const
{
    const auto begin = came_at(steps_.front());
    const auto own_processes = processes();
    const auto peers = upstreams();
    auto lines = steps_;
    for (const auto& belief : beliefs_) {
        const bool meanwhile =
            belief.time >= begin && belief.time <= steps_.back().time;
        const bool of_peer = !is_of_one_peer(belief_of(belief.event)->about) ||
                             peers.contains(belief.field("upstream"));
        if (meanwhile && of_peer && own_processes.contains(belief.process))
            lines.push_back(belief);
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
