#ifndef CYCLAMENRUN_REQUEST_TIMELINE_HPP
#define CYCLAMENRUN_REQUEST_TIMELINE_HPP

#include "parsed_log_line.hpp"

#include <iosfwd>
#include <set>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * The timeline of one request as reconstructed from logs. It consists of the
 * lines with the request's id from all processes in order of time, the state
 * of each of these processes at the arrival of the request, and the changes of
 * that state while the request was served.
 */
class request_timeline
{
public:
    explicit request_timeline(std::string request_id)
        : request_id_(std::move(request_id))
    {
    }

    /** Adds one line of a log, in any order; skips lines that are no events. */
    void add_line(const std::string& line);

    /** Returns whether no line has the id of the request. */
    bool empty() const { return steps_.empty(); }
    /** Must not be called on an empty timeline. */
    void print(std::ostream& to);

private:
    void sort();
    std::set<std::string> processes() const;
    std::set<std::string> upstreams() const;
    void print_initial_state(std::ostream& to,
                             const std::string& process) const;
    void print_steps(std::ostream& to) const;

    std::string request_id_;
    std::vector<parsed_log_line> steps_;
    /** Of all processes, including those that did not serve the request. */
    std::vector<parsed_log_line> state_events_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_TIMELINE_HPP
