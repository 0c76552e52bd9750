#ifndef CYCLAMENRUN_CONNECTION_ADMISSION_HPP
#define CYCLAMENRUN_CONNECTION_ADMISSION_HPP

#include "clock.hpp"
#include "token_bucket.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** What a process lacks to serve a new connection. */
enum class connection_shortage : std::uint8_t {
    none,
    descriptors,
    memory,
    processor,
};

std::string_view name_of(connection_shortage shortage);

/** What a process may use; 0: not bounded. */
struct connection_limits {
    std::size_t descriptors = 0; ///< open at the same time
    std::size_t memory_bytes = 0;
    double processor_share = 0; ///< of a core

    bool bounded() const
    {
        return descriptors > 0 || memory_bytes > 0 || processor_share > 0;
    }
};

/** Descriptors that a process has and will need for what it has accepted. */
struct descriptor_use {
    std::size_t open = 0;
    /** For upstreams' connections of requests that are not running yet. */
    std::size_t expected = 0;
};

/** What a process has used, measured at a timer of its event loop. */
struct process_load {
    duration processor_used{0}; ///< since the start of the process
    duration delay{0};          ///< by which the timer ran late
    std::size_t memory_bytes = 0;
    std::size_t requests = 0; ///< read since the start of the process
    descriptor_use descriptors;
};

/**
 * Decides whether a new connection of a caller is accepted, and whether its
 * first request is read, by what the process has left of its limits. All times
 * are of one monotonic clock. Does no I/O.
 *
 * Processor time is kept in two buckets, in seconds of a core: one is charged
 * with what the process has used, the other with what each admitted request is
 * expected to cost, most of which is used only when its answer arrives.
 */
class connection_admission
{
public:
    connection_admission(const connection_limits& limits, time_point now);

    /** Takes a measurement; to be called each `load_interval`. */
    void update(const process_load& load, time_point now);
    /**
     * Whether new connections have to wait in the listener's queue, since
     * closing more of them would take the time of those that can be served.
     */
    bool must_wait(time_point now);
    /** Whether a new connection is accepted; `none`: it is. */
    connection_shortage may_accept(const descriptor_use& use, time_point now);
    /**
     * Whether the first request of a connection is read; `none`: it is, and its
     * cost is charged.
     */
    connection_shortage may_read(time_point now);

    /**
     * True while there is a shortage or descriptors may soon be short:
     * connections close after their first answer, and unread connections that
     * are silent close sooner.
     */
    bool under_pressure(time_point now) const;
    /** Expected processor time of one request. */
    duration request_cost() const;

private:
    duration use_since_update(const process_load& load);
    void update_allowance(const process_load& load, duration used,
                          duration passed);
    void update_processor(duration used, time_point now);
    void update_request_cost(const process_load& load, duration used,
                             time_point now);
    void update_memory(std::size_t bytes);
    void update_descriptors(const descriptor_use& use);
    bool processor_short(time_point now);
    bool minimum_left() const;
    bool take_minimum();
    connection_shortage report(connection_shortage shortage, time_point now);
    void fill_refusals(time_point now);
    double rate(double part) const;
    double burst() const;

    connection_limits limits_;
    time_point updated_at_;
    duration processor_used_{0};
    std::size_t requests_ = 0;

    token_bucket measured_; ///< seconds of a core
    token_bucket expected_; ///< seconds of a core
    token_bucket minimum_;  ///< requests
    token_bucket refusals_; ///< refused connections
    /** Part of the share that can be used without running late. */
    double allowance_ = 1;

    double cost_s_; ///< of a request
    time_point cost_window_end_;
    duration cost_window_use_{0};
    std::size_t cost_window_requests_ = 0;

    bool descriptors_short_ = false;
    bool descriptors_scarce_ = false;
    bool memory_short_ = false;
    bool processor_short_ = false;
    time_point pressure_until_{};
};

/** Time between two measurements. */
inline constexpr milliseconds load_interval{50};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONNECTION_ADMISSION_HPP
