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

/** Points of a run at which a fault can be injected. */
enum class run_moment : std::uint8_t {
    begun,
    prompt_processed,
    first_token,
    mid_stream,
    last_token,
    effect, ///< a call took effect; its answer is not sent yet
};

/**
 * A fake model engine or application runner. It produces `tokens` tokens for
 * each generation, each labelled with its run, and answers each call once.
 */
class fake_upstream
{
public:
    using moment_hook =
        std::function<void(run_moment moment, const std::string& request_id)>;

    fake_upstream(std::string name, virtual_time& time, history& observed,
                  moment_hook on_moment);

    /** Sets the gate that receives events; null while the agent is down. */
    void attach(gate* gate);
    void start(const admitted_work& admitted);
    void stop(work_id work);

    /** Crashes the process with all of its runs; it restarts after a delay. */
    void crash();
    /** Stops progress for `pause`: memory is full, or the process is slow. */
    void pause(milliseconds pause);
    /** Loses the answer of the next call that completes, after its effect. */
    void lose_next_answer() { loses_next_answer_ = true; }
    /** Identifies the upstream and the incarnation of its agent. */
    std::string incarnation_name() const
    {
        return name_ + '#' + std::to_string(incarnations_);
    }

    static constexpr std::uint64_t tokens = 12;

private:
    struct run {
        admitted_work admitted;
        std::uint64_t tokens_made = 0;
        gate* owner = nullptr; ///< null if its agent is down or was replaced
    };

    void step(std::uint64_t id);
    void step_generation(std::uint64_t id, run& running);
    void finish_call(std::uint64_t id, run& running);
    void record(event_kind kind, std::uint64_t id, const run& running,
                std::uint64_t index);
    milliseconds delay() const;

    std::string name_;
    virtual_time& time_;
    history& history_;
    moment_hook on_moment_;
    gate* gate_ = nullptr;
    std::map<std::uint64_t, run> runs_;
    int incarnations_ = 0;
    bool alive_ = true;
    bool loses_next_answer_ = false;
    time_point paused_until_{};
};

/** The text of a token, which encodes its run and index. */
std::string token_text(std::uint64_t run, std::uint64_t index);
inline constexpr std::uint64_t token_stride = 1000;

/** The work id that a request's body names. */
std::string work_of_body(const std::string& body);
/** The id of the caller's request to which a dispatch's request id belongs. */
std::string caller_request_id_of(const std::string& request_id);

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_FAKE_UPSTREAM_HPP
