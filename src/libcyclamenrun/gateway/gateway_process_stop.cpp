#include "gateway_process.hpp"
#include "log_event.hpp"

#include <algorithm>
#include <thread>

namespace cyclamenrun
{

namespace
{

/** The drain ends this long before the end of the stop grace. */
constexpr milliseconds stop_margin{700};
constexpr milliseconds stop_check_interval{20};

milliseconds stop_grace(const gateway_settings& settings)
{
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>(settings.stop_grace_s));
}

} // namespace

bool gateway_process::drain()
{
    const auto started_at = steady_now();
    auto drain_deadline = started_at;
    auto closes_at = started_at;
    // On the loop, which applies changed settings.
    on_loop([&] {
        drain_deadline +=
            std::max(stop_grace(settings_) - stop_margin, milliseconds(0));
        closes_at =
            std::min(started_at + settings_.balancer_wait, drain_deadline);
        context_->stopping = true;
        context_->stop_at = drain_deadline;
    });
    std::this_thread::sleep_until(closes_at);
    on_loop([this] {
        caller_server_->stop_accepting();
        context_->listener_closed = true;
        caller_server_->close_idle();
    });
    bool drained = false;
    while (!drained && steady_now() < drain_deadline) {
        std::this_thread::sleep_for(stop_check_interval);
        on_loop([&] { drained = is_drained(); });
    }
    on_loop([this, drained] { log_drain(drained); });
    if (!drained)
        end_running();
    return drained;
}

bool gateway_process::is_drained() const
{
    return context_->running.empty() &&
           caller_server_->untaken_answers() == 0 &&
           caller_server_->kept_connections() == 0;
}

void gateway_process::log_drain(bool complete) const
{
    log_event(complete ? log_severity::info : log_severity::error,
              complete ? log_event_name::drain_finished
                       : log_event_name::drain_timed_out,
              {{log_key::running, context_->running.size()},
               {log_key::count, caller_server_->untaken_answers()},
               {log_key::incomplete, caller_server_->incomplete_requests()}});
}

void gateway_process::end_running()
{
    on_loop([this] {
        for (const auto& each : running_requests())
            each->end_at_exit();
    });
    // The answers are sent at the end of the loop's iteration.
    on_loop([] {});
}

} // namespace cyclamenrun
