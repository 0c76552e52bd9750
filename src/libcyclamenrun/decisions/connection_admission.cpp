#include "connection_admission.hpp"

#include <algorithm>
#include <array>

namespace cyclamenrun
{

namespace
{

using seconds_f = std::chrono::duration<double>;

/** Parts of the share that are filled into the two buckets. */
constexpr double measured_part = 0.85;
constexpr double expected_part = 0.8;
/**
 * Time whose share may be used at once; a process that may not use more then
 * runs late by up to this.
 */
constexpr double burst_s = 0.15;
/** Level, as a part of a burst, at which connections are admitted again. */
constexpr double resume_part = 0.1;
/**
 * Part of the share for requests that are read whatever the buckets say, so
 * that reading a new configuration turns no usual load away.
 */
constexpr double minimum_part = 0.1;
/** Requests that the minimum admits at once, at least. */
constexpr double min_minimum_burst = 4;

/**
 * Part of the share for closing connections unread, and the processor time of
 * each; 29 to 41 us were measured (docs/CAPACITY.md).
 */
constexpr double refusal_part = 0.4;
constexpr double refusal_cost_s = 0.00003;
/** Time whose refusals may come at once. */
constexpr double refusal_burst_s = 0.1;
constexpr double min_refusal_burst = 16;

/**
 * Processor time of a request until it is learnt; a gateway was measured to use
 * 0.39 ms (docs/design/platform.md).
 */
constexpr double initial_cost_s = 0.0004;
constexpr double min_cost_s = 0.0002;
constexpr double max_cost_s = 0.004;
constexpr double cost_smoothing = 0.3;
constexpr milliseconds cost_window{1000};
/** With fewer requests, what else the process does would count as theirs. */
constexpr std::size_t min_cost_requests = 50;

/** A timer that runs later than this shows that the process is behind. */
constexpr milliseconds late{150};
/** Part of the share that shows that lateness is due to the process's work. */
constexpr double busy_part = 0.5;
constexpr double allowance_decrease = 0.8;
constexpr double allowance_increase = 0.02;
constexpr double min_allowance = 0.3;

/** Parts of limits at which shortages begin and end. */
constexpr double descriptors_resume_part = 0.95;
constexpr double descriptors_scarce_part = 0.5;
constexpr double descriptors_ample_part = 0.4;
constexpr double memory_short_part = 0.85;
constexpr double memory_resume_part = 0.8;
/** Descriptors of a new connection: its own and that to its upstream. */
constexpr std::size_t descriptors_per_connection = 2;

/** Time for which a shortage counts as pressure. */
constexpr milliseconds pressure_time{1000};

double seconds_of(duration time)
{
    return seconds_f(time).count();
}

bool exceeds(std::size_t value, double part, std::size_t limit)
{
    return static_cast<double>(value) > part * static_cast<double>(limit);
}

/** A condition that begins above one part of a limit and ends below another. */
bool with_hysteresis(bool before, std::size_t value, std::size_t limit,
                     double begin_part, double end_part)
{
    return exceeds(value, before ? end_part : begin_part, limit);
}

constexpr std::array<std::string_view, 4> names{"none", "descriptors", "memory",
                                                "processor"};

} // namespace

std::string_view name_of(connection_shortage shortage)
{
    return names.at(static_cast<std::size_t>(shortage));
}

connection_admission::connection_admission(const connection_limits& limits,
                                           time_point now)
    : limits_(limits), updated_at_(now), measured_(burst(), now),
      expected_(burst(), now), minimum_(min_minimum_burst, now),
      refusals_(min_refusal_burst, now), cost_s_(initial_cost_s),
      cost_window_end_(now + cost_window)
{
}

double connection_admission::rate(double part) const
{
    return limits_.processor_share * part * allowance_;
}

double connection_admission::burst() const
{
    return limits_.processor_share * burst_s;
}

void connection_admission::update(const process_load& load, time_point now)
{
    const auto used = use_since_update(load);
    update_allowance(load, used, now - updated_at_);
    update_processor(used, now);
    update_request_cost(load, used, now);
    update_memory(load.memory_bytes);
    update_descriptors(load.descriptors);
    requests_ = load.requests;
    updated_at_ = now;
}

duration connection_admission::use_since_update(const process_load& load)
{
    const auto used = load.processor_used - processor_used_;
    processor_used_ = load.processor_used;
    return std::max(used, duration::zero());
}

void connection_admission::update_allowance(const process_load& load,
                                            duration used, duration passed)
{
    // A process that was paused, or whose host is busy with other work, runs
    // late without having used its share; turning callers away would not help.
    const bool busy = seconds_of(used) >=
                      busy_part * limits_.processor_share * seconds_of(passed);
    allowance_ = busy && load.delay > late
                     ? std::max(min_allowance, allowance_ * allowance_decrease)
                     : std::min(1.0, allowance_ + allowance_increase);
}

void connection_admission::update_processor(duration used, time_point now)
{
    measured_.fill(rate(measured_part), burst(), now);
    expected_.fill(rate(expected_part), burst(), now);
    // The debt is bounded, so that a long overload does not turn callers away
    // for long after its end.
    measured_.take(std::min(seconds_of(used), measured_.tokens() + burst()));
}

void connection_admission::update_request_cost(const process_load& load,
                                               duration used, time_point now)
{
    cost_window_use_ += used;
    cost_window_requests_ += load.requests - requests_;
    if (now < cost_window_end_)
        return;
    if (cost_window_requests_ >= min_cost_requests) {
        const auto cost = seconds_of(cost_window_use_) /
                          static_cast<double>(cost_window_requests_);
        cost_s_ += cost_smoothing *
                   (std::clamp(cost, min_cost_s, max_cost_s) - cost_s_);
    }
    cost_window_use_ = duration::zero();
    cost_window_requests_ = 0;
    cost_window_end_ = now + cost_window;
}

void connection_admission::update_memory(std::size_t bytes)
{
    memory_short_ = limits_.memory_bytes > 0 &&
                    with_hysteresis(memory_short_, bytes, limits_.memory_bytes,
                                    memory_short_part, memory_resume_part);
}

void connection_admission::update_descriptors(const descriptor_use& use)
{
    if (limits_.descriptors == 0)
        return;
    const auto wanted = use.open + use.expected;
    descriptors_scarce_ =
        with_hysteresis(descriptors_scarce_, wanted, limits_.descriptors,
                        descriptors_scarce_part, descriptors_ample_part);
    descriptors_short_ =
        with_hysteresis(descriptors_short_, wanted + descriptors_per_connection,
                        limits_.descriptors, 1, descriptors_resume_part);
}

void connection_admission::fill_refusals(time_point now)
{
    const auto refusal_rate =
        limits_.processor_share * refusal_part / refusal_cost_s;
    refusals_.fill(refusal_rate,
                   std::max(min_refusal_burst, refusal_rate * refusal_burst_s),
                   now);
}

bool connection_admission::must_wait(time_point now)
{
    if (limits_.processor_share <= 0)
        return false;
    fill_refusals(now);
    return refusals_.tokens() < 1;
}

connection_shortage connection_admission::may_accept(const descriptor_use& use,
                                                     time_point now)
{
    update_descriptors(use);
    if (descriptors_short_)
        return report(connection_shortage::descriptors, now);
    if (memory_short_)
        return report(connection_shortage::memory, now);
    // The cost is charged when its request arrives; here only connections that
    // could not be read at once are closed.
    if (processor_short(now) && !minimum_left())
        return report(connection_shortage::processor, now);
    return connection_shortage::none;
}

connection_shortage connection_admission::may_read(time_point now)
{
    if (processor_short(now) && !take_minimum())
        return report(connection_shortage::processor, now);
    expected_.take(cost_s_);
    return connection_shortage::none;
}

bool connection_admission::processor_short(time_point now)
{
    if (limits_.processor_share <= 0)
        return false;
    const auto minimum_rate = limits_.processor_share * minimum_part / cost_s_;
    minimum_.fill(minimum_rate, std::max(min_minimum_burst, minimum_rate), now);
    measured_.fill(rate(measured_part), burst(), now);
    expected_.fill(rate(expected_part), burst(), now);
    const auto level = std::min(measured_.tokens(), expected_.tokens());
    processor_short_ =
        level <= 0 || (processor_short_ && level < resume_part * burst());
    return processor_short_;
}

bool connection_admission::minimum_left() const
{
    return minimum_.tokens() >= 1;
}

bool connection_admission::take_minimum()
{
    if (!minimum_left())
        return false;
    minimum_.take(1);
    return true;
}

connection_shortage connection_admission::report(connection_shortage shortage,
                                                 time_point now)
{
    pressure_until_ = now + pressure_time;
    refusals_.take(1);
    return shortage;
}

bool connection_admission::under_pressure(time_point now) const
{
    return descriptors_scarce_ || now < pressure_until_;
}

duration connection_admission::request_cost() const
{
    return std::chrono::duration_cast<duration>(seconds_f(cost_s_));
}

} // namespace cyclamenrun
