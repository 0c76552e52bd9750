#ifndef CYCLAMENRUN_PROCESS_WATCH_HPP
#define CYCLAMENRUN_PROCESS_WATCH_HPP

#include "clock.hpp"

#include <cstdint>
#include <optional>

namespace cyclamenrun
{

/** Whether an upstream's process is the one that the directory lists. */
enum class process_standing : std::uint8_t {
    confirmed, ///< the process has just named the start that is listed
    presumed,  ///< nothing contradicts it
    doubted,   ///< a connection broke since the process named its start
    ended,     ///< the listed process has crashed, or another one has started
};

/**
 * Follows whether the process of one upstream is still the one in its directory
 * record. A process may start again under its id, with other software, long
 * before the directory lists it anew. Does no I/O.
 */
class process_watch
{
public:
    /**
     * `listed`: the start in the directory's record, in ms since the Unix
     * epoch; 0: the record names none, so no process uses the id again.
     */
    explicit process_watch(std::int64_t listed = 0) : listed_(listed) {}

    /** The start in the directory's record. */
    std::int64_t listed() const { return listed_; }

    /**
     * The process has named its start, at `earliest` or later; 0: it names
     * none.
     */
    void record_report(std::int64_t started_ms, time_point earliest);
    /** A connection to the process broke. */
    void record_loss(time_point now) { lost_at_ = now; }
    /** The host refused a connection after another one broke. */
    void record_crash(time_point now);

    process_standing standing(time_point now) const;

private:
    std::int64_t listed_ = 0;
    bool has_successor_ = false;
    bool crashed_ = false;
    std::optional<time_point> confirmed_at_;
    std::optional<time_point> lost_at_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PROCESS_WATCH_HPP
