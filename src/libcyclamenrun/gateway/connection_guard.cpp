#include "connection_guard.hpp"

#include "log_event.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <string>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Descriptors that new connections never take: files, the listeners, readiness
 * checks, metrics, peers, monitors, the directory, copies of generations.
 */
constexpr std::size_t reserved_descriptors = 200;
constexpr std::size_t bytes_per_mb = 1000000;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/** Most of the memory of a process under a sanitizer is the sanitizer's. */
constexpr bool measures_own_memory = false;
#else
constexpr bool measures_own_memory = true;
#endif
/** Interval at which the allocator returns memory, when half is in use. */
constexpr milliseconds trim_interval{1000};
/** Time without a refusal after which the log says that they have ended. */
constexpr milliseconds episode_time{5000};

std::size_t descriptor_limit(std::uint64_t configured)
{
    if (configured == 0)
        return 0;
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        limit.rlim_cur != RLIM_INFINITY)
        configured = std::min<std::uint64_t>(configured, limit.rlim_cur);
    const auto reserved =
        std::min<std::uint64_t>(reserved_descriptors, configured / 2);
    return configured - reserved;
}

duration processor_time()
{
    timespec used{};
    if (::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0)
        return duration::zero();
    return std::chrono::seconds(used.tv_sec) +
           std::chrono::nanoseconds(used.tv_nsec);
}

/** Memory of this process that is resident, in bytes. */
std::size_t resident_memory()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total_pages = 0;
    std::size_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace

connection_limits connection_limits_of(const gateway_settings& settings)
{
    connection_limits limits;
    limits.descriptors = descriptor_limit(settings.max_fds);
    if (measures_own_memory)
        limits.memory_bytes = settings.memory_mb * bytes_per_mb;
    limits.processor_share = settings.cpu_share;
    return limits;
}

connection_guard::connection_guard(std::shared_ptr<link_reactor> reactor,
                                   const connection_limits& limits,
                                   exported_metrics& metrics, hooks on)
    : reactor_(std::move(reactor)), limits_(limits),
      admission_(limits, reactor_->now()), metrics_(metrics), on_(std::move(on))
{
}

void connection_guard::start()
{
    if (limits_.bounded())
        tick(steady_now());
}

connection_gate connection_guard::gate()
{
    connection_gate gate;
    if (!limits_.bounded())
        return gate;
    gate.must_wait = [self = shared_from_this()] {
        return self->admission_.must_wait(steady_now());
    };
    gate.may_accept = [self = shared_from_this()] {
        return self->may_accept();
    };
    gate.may_read = [self = shared_from_this()] {
        return self->taken(self->admission_.may_read(steady_now()));
    };
    gate.under_pressure = [self = shared_from_this()] {
        return self->under_pressure();
    };
    gate.on_exhausted = [self = shared_from_this()] {
        self->refuse(connection_shortage::descriptors);
    };
    return gate;
}

bool connection_guard::under_pressure() const
{
    return limits_.bounded() && admission_.under_pressure(steady_now());
}

void connection_guard::tick(time_point due)
{
    const auto now = steady_now();
    const auto delay = std::max(now - due, duration::zero());
    longest_delay_ = std::max(longest_delay_, delay);
    admission_.update(measure(delay), now);
    if (refused_ > 0 && now >= episode_end_)
        end_episode();
    const auto next = now + load_interval;
    reactor_->post_at(next, [weak = weak_from_this(), next] {
        if (const auto self = weak.lock())
            self->tick(next);
    });
}

bool connection_guard::may_accept()
{
    if (!taken(admission_.may_accept(descriptors(), steady_now())))
        return false;
    ++waiting_;
    return true;
}

process_load connection_guard::measure(duration delay)
{
    // Connections are counted here only, since that looks at each of them.
    const auto connections = on_.connections();
    waiting_ = connections - std::min(connections, on_.running());
    process_load load;
    load.processor_used = processor_time();
    load.delay = delay;
    load.memory_bytes = measure_memory();
    load.requests = requests_;
    load.descriptors = descriptors();
    return load;
}

std::size_t connection_guard::measure_memory()
{
    if (limits_.memory_bytes == 0)
        return 0;
    const auto resident = resident_memory();
    const auto now = steady_now();
    if (resident <= limits_.memory_bytes / 2 || now < next_trim_)
        return resident;
    // The allocator keeps what a surge has used; it would count as in use.
    next_trim_ = now + trim_interval;
    ::malloc_trim(0);
    return resident_memory();
}

descriptor_use connection_guard::descriptors() const
{
    return {reactor_->watched(), waiting_};
}

bool connection_guard::taken(connection_shortage shortage)
{
    if (shortage == connection_shortage::none)
        return true;
    refuse(shortage);
    return false;
}

void connection_guard::refuse(connection_shortage shortage)
{
    const auto now = steady_now();
    episode_end_ = now + episode_time;
    ++refused_by_.at(static_cast<std::size_t>(shortage));
    if (refused_++ > 0)
        return;
    refused_since_ = now;
    log_event(log_severity::warning, log_event_name::connections_refused,
              {{log_key::reason, name_of(shortage)},
               {log_key::count, on_.connections()},
               {log_key::running, on_.running()}});
}

void connection_guard::end_episode()
{
    log_event(log_severity::info, log_event_name::connections_accepted,
              {{log_key::count, refused_},
               {log_key::duration_ms,
                std::chrono::duration_cast<milliseconds>(
                    episode_end_ - episode_time - refused_since_)}});
    refused_ = 0;
}

void connection_guard::refresh_gauges()
{
    for (const auto shortage :
         {connection_shortage::descriptors, connection_shortage::memory,
          connection_shortage::processor})
        metrics_.set_counter(exported_metric::refused_connections,
                             {std::string(name_of(shortage))},
                             static_cast<double>(refused_by_.at(
                                 static_cast<std::size_t>(shortage))));
    metrics_.set(exported_metric::open_sockets, {},
                 static_cast<double>(reactor_->watched()));
    metrics_.set(
        exported_metric::loop_delay, {},
        std::chrono::duration<double>(std::exchange(longest_delay_, {}))
            .count());
}

} // namespace cyclamenrun
