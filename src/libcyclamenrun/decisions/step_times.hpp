#ifndef CYCLAMENRUN_STEP_TIMES_HPP
#define CYCLAMENRUN_STEP_TIMES_HPP

#include "clock.hpp"
#include "engine_load_estimate.hpp"
#include "fading_histogram.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** What an engine does beside the decoding of running generations. */
enum class step_kind : std::uint8_t {
    decode,  ///< nothing
    prefill, ///< prefills a chunk of a prompt in each step
    mixed,   ///< began or ended a prefill between two polls
};

std::string_view name_of(step_kind kind);

/**
 * Learns the duration of an engine's steps from polls of its status: with and
 * without a prompt that is prefilled beside, how often the engine becomes slow
 * for a moment, and how slow it is then.
 *
 * A step makes one token for each running generation, so the number of steps
 * between two polls is the number of tokens by which they have grown. This is
 * the mean of a few steps and errs by up to one step at either end: single
 * steps, and moments shorter than the interval of the polls, are not seen.
 *
 * Bounded; older samples have less weight. No I/O; not thread-safe.
 */
class step_times
{
public:
    step_times();

    void record_poll(const engine_status& status, time_point now);
    /**
     * Records that a gateway has relayed this number of events of the engine's
     * streams, with `time` between them in total.
     */
    void record_events(std::uint64_t events, milliseconds time);

    /** Usual duration of a step in ms; 0: not known. */
    double usual_ms(step_kind kind) const;
    /**
     * Tokens in an event of a stream: the mean time between events divided by
     * the mean step. Empty: not known.
     */
    std::optional<double> tokens_per_event() const;
    /** True while recent steps are far above the usual duration. */
    bool is_slow() const { return slow_; }
    /** Number of slow moments per ms that the engine is not slow. */
    double slow_moments_per_ms() const;

    /** Whether any moments were slow enough, and often, to learn from. */
    bool has_slow_moments() const;
    /**
     * Share of a prefill of this duration for which a stream runs that has this
     * many tokens left.
     */
    double exposure(double tokens_left, milliseconds prefill_time) const;

    /**
     * Probability that a prefill of this duration makes a running stream late:
     * that one of its events passes `gap_target` because of it. The engine is
     * slow then, or becomes so. Zero if that is not known, and if events beside
     * a prefill pass the target at the usual speed already.
     */
    double late_probability(milliseconds gap_target,
                            milliseconds prefill_time) const;

    /**
     * Probability that a stream that makes this many tokens here gets a late
     * event in a slow moment, with the prefills that there have been in those.
     */
    double stream_lateness(milliseconds gap_target, double tokens) const;

private:
    /** Time between two polls. */
    struct interval {
        double ms = 0;
        std::uint64_t steps = 0;
        step_kind kind = step_kind::mixed;
        std::size_t generations = 0; ///< that ran the whole time
    };
    struct poll {
        time_point at;
        bool prefilling = false;
        std::map<std::string, std::uint64_t> memory_tokens;
    };

    /** Empty if no generation ran the whole time. */
    static std::optional<interval> interval_between(const poll& first,
                                                    const poll& second);
    void record_means(const interval& last);
    /** Returns whether the engine has become slow, or has ceased to be. */
    bool update_slowness(const interval& last);
    void record_window(const interval& last);
    void update_usual(step_kind kind);
    /** Share of the slow steps in which such an event passes the target. */
    double late_share(milliseconds gap_target, double tokens_per_event,
                      step_kind kind) const;

    std::optional<poll> last_poll_;
    /** Consecutive intervals of one kind, slow all or none. */
    std::deque<interval> window_;
    std::array<fading_histogram, 2> steps_; ///< in ms, by kind
    std::array<double, 2> usual_ms_{};      ///< by kind; 0: not known
    /** Duration of steps in slow moments, in usual durations. */
    fading_histogram slowness_;
    bool slow_ = false;
    bool slow_beside_prefill_ = false; ///< in the current slow moment
    // Sums in which older samples have less weight.
    double stream_ms_ = 0;    ///< time of generations
    double stream_steps_ = 0; ///< tokens that they have made
    double event_ms_ = 0;
    double events_ = 0;
    double not_slow_ms_ = 0;
    double slow_moments_ = 0;
    double slow_moments_beside_prefill_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_STEP_TIMES_HPP
