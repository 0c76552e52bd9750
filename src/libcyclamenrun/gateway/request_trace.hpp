#ifndef CYCLAMENRUN_REQUEST_TRACE_HPP
#define CYCLAMENRUN_REQUEST_TRACE_HPP

#include "log_event_name.hpp"
#include "log_field.hpp"
#include "log_severity.hpp"

#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenrun
{

/**
 * The decisions that one request has met. They are logged only if it ends
 * badly or late, so that the many that end well cost one line each and the
 * cause of the others is still told. Memory is bounded: of a long story the
 * beginning and the end are kept.
 */
class request_trace
{
public:
    /**
     * Logs each decision as it is made, from now on. For investigations: a
     * process that is killed leaves no end of the requests that it served,
     * and only so is it seen which these were.
     */
    void follow(std::string request_id) { followed_ = std::move(request_id); }

    void note(log_event_name event, std::vector<log_field> fields);
    /** A part of its answer was late. */
    void note_late() { late_ = true; }

    /**
     * Logs how it ended: one line if all went well, else all decisions before
     * it, each with the time at which it was made.
     */
    void end(const std::string& request_id, log_severity severity,
             log_event_name event, std::vector<log_field> fields) const;

    /** Steps kept from the beginning and from the end of a story. */
    static constexpr std::size_t first_steps = 8;
    static constexpr std::size_t last_steps = 24;

private:
    struct step {
        std::chrono::system_clock::time_point at;
        log_event_name event;
        std::vector<log_field> fields;
    };

    void write(const step& noted, const std::string& request_id) const;

    std::vector<step> first_;
    std::deque<step> last_;
    std::uint64_t left_out_ = 0;
    bool late_ = false;
    std::string followed_; ///< id of the request; empty: not followed
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_TRACE_HPP
