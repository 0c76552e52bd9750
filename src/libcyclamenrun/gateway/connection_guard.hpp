#ifndef CYCLAMENRUN_CONNECTION_GUARD_HPP
#define CYCLAMENRUN_CONNECTION_GUARD_HPP

#include "connection_admission.hpp"
#include "connection_gate.hpp"
#include "exported_metrics.hpp"
#include "gateway_settings.hpp"
#include "link_reactor.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>

namespace cyclamenrun
{

/** Limits of this process, by its settings and by the operating system. */
connection_limits connection_limits_of(const gateway_settings& settings);

/**
 * Measures what this process uses, asks `connection_admission` about callers'
 * new connections, and reports refusals. Runs on the reactor's thread only.
 */
class connection_guard : public std::enable_shared_from_this<connection_guard>
{
public:
    struct hooks {
        std::function<std::size_t()> connections; ///< of callers
        std::function<std::size_t()> running;     ///< requests
    };

    connection_guard(std::shared_ptr<link_reactor> reactor,
                     const connection_limits& limits, exported_metrics& metrics,
                     hooks on);

    /** Starts to measure; does nothing if there are no limits. */
    void start();
    /** Empty if there are no limits. */
    connection_gate gate();
    bool under_pressure() const;
    void record_request() { ++requests_; }
    void refresh_gauges();

private:
    void tick(time_point due);
    process_load measure(duration delay);
    std::size_t measure_memory();
    descriptor_use descriptors() const;
    bool may_accept();
    bool taken(connection_shortage shortage);
    void refuse(connection_shortage shortage);
    void end_episode();

    std::shared_ptr<link_reactor> reactor_;
    connection_limits limits_;
    connection_admission admission_;
    exported_metrics& metrics_;
    hooks on_;
    std::size_t requests_ = 0;
    /** Connections without a running request, at most; see measure(). */
    std::size_t waiting_ = 0;
    time_point next_trim_{};
    duration longest_delay_{0}; ///< since the gauges were refreshed

    /** Since the start, by shortage. */
    std::array<std::uint64_t, 4> refused_by_{};
    // The refusals since the last time without any.
    std::size_t refused_ = 0;
    time_point refused_since_{};
    time_point episode_end_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONNECTION_GUARD_HPP
