#ifndef CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP
#define CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP

#include "gate.hpp"
#include "history.hpp"
#include "virtual_time.hpp"

#include <functional>
#include <map>
#include <string>

namespace cyclamenrun::faults
{

/** Moments of a run at which a fault can be brought about. */
enum class run_moment : std::uint8_t {
    begun,
    prompt_processed,
    first_token,
    mid_stream,
    last_token,
    effect, ///< a call has done its work; its answer isn't on its way yet
};

/**
 * A model engine or an application runner. It makes `tokens` tokens of each
 * generation, each marked with its run, and answers each call once.
 */
class fake_upstream
{
public:
    using moment_hook =
        std::function<void(run_moment moment, const std::string& request_id)>;

    fake_upstream(std::string name, virtual_time& time, history& seen,
                  moment_hook on_moment);

    /** The gate that hears of runs; null while the agent is down. */
    void attach(gate* gate);
    void start(const run_order& order);
    void stop(work_id work);

    /** The process ends, and with it all that it runs; starts again later. */
    void die();
    /** Nothing moves for so long: memory is full, or the process slow. */
    void pause(milliseconds pause);
    /** The answer of what runs is lost after its effect. */
    void lose_answers() { loses_answers_ = true; }
    /** Names the upstream in one life of its agent. */
    std::string life() const { return name_ + '#' + std::to_string(lives_); }

    static constexpr std::uint64_t tokens = 12;

private:
    struct run {
        run_order order;
        std::uint64_t made = 0;
        gate* owner = nullptr;
    };

    void step(std::uint64_t id);
    void step_generation(std::uint64_t id, run& running);
    void finish_call(std::uint64_t id, run& running);
    void record(event_kind kind, std::uint64_t id, const run& running,
                std::uint64_t index);
    milliseconds delay() const;

    std::string name_;
    virtual_time& time_;
    history& seen_;
    moment_hook on_moment_;
    gate* gate_ = nullptr;
    std::map<std::uint64_t, run> runs_;
    int lives_ = 0;
    bool alive_ = true;
    bool loses_answers_ = false;
    time_point paused_until_{};
};

/** Tells the run and the index of the token that it is the text of. */
std::string token_text(std::uint64_t run, std::uint64_t index);
inline constexpr std::uint64_t token_stride = 1000;

/** The work that a request's body asks for. */
std::string work_of_body(const std::string& body);
/** The caller's exchange that a request id belongs to. */
std::string exchange_of(const std::string& request_id);

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP
