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
 * The decisions made on one request. They are logged only if the request fails
 * or is late, so that a successful request costs one line and the log still
 * shows the cause of a failure. Memory is bounded: of a long trace only the
 * first and the last steps are kept.
 */
class request_trace
{
public:
    /**
     * Logs each further decision as soon as it is made. For investigations: a
     * process that is killed does not log the end of its requests, and without
     * this the log would not show which requests it served.
     */
    void follow(std::string request_id)
    {
        followed_id_ = std::move(request_id);
    }

    void record(log_event_name event, std::vector<log_field> fields);
    /** Records that a part of the answer was late. */
    void mark_late() { late_ = true; }

    /**
     * Logs the end of the request. Unless its severity is info and no part was
     * late, the kept decisions are logged before it, each with the time at
     * which it was made.
     */
    void end(const std::string& request_id, log_severity severity,
             log_event_name event, std::vector<log_field> fields) const;

    /** Number of steps kept from the beginning and from the end of a trace. */
    static constexpr std::size_t first_steps = 8;
    static constexpr std::size_t last_steps = 24;

private:
    struct step {
        std::chrono::system_clock::time_point at;
        log_event_name event;
        std::vector<log_field> fields;
    };

    void write(const step& decision, const std::string& request_id) const;

    std::vector<step> first_;
    std::deque<step> last_;
    std::uint64_t omitted_steps_ = 0;
    bool late_ = false;
    std::string
        followed_id_; ///< id of the followed request; empty: not followed
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_TRACE_HPP
