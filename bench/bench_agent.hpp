#ifndef CYCLAMENRUN_BENCH_BENCH_AGENT_HPP
#define CYCLAMENRUN_BENCH_BENCH_AGENT_HPP

#include "admission.hpp"
#include "deployment.hpp"
#include "fake_engine.hpp"
#include "load_report.hpp"
#include "policy.hpp"
#include "workload.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace cyclamenrun::bench
{

/**
 * One upstream of a trial: a fake engine and, for cyclamenrun's policies, the
 * agent's admission queue in front of it. Other policies send every request
 * straight to the engine.
 */
class bench_agent
{
public:
    bench_agent(const deployment& deployment, const policy& tested_policy,
                const engine_settings& engine, std::size_t index,
                const std::vector<request>& requests, bool no_deadlines);

    /** Submits a request; fails with the refusal that the agent would send. */
    outcome<void> submit(std::uint64_t id, time_point deadline, bool suspect,
                         time_point now);
    /** Passes the requests that admission starts now to the engine. */
    void admit(time_point now);
    /** Ends the engine's step and records its tokens in admission. */
    const fake_engine::step_result& end_step(time_point now);
    void cancel(std::uint64_t id, time_point now);
    /**
     * Clears the engine. Its requests must then be cancelled one by one, since
     * admission still counts them.
     */
    void fail_engine();
    /** Handles a load report that the engine sent some time ago. */
    void handle_engine_report(const engine_load_hint& hint, time_point now);

    engine_load_hint engine_load() const;
    load_report report(time_point now) const;
    fake_engine& engine() { return engine_; }

    const std::string name;
    const std::string failure_domain;
    bool stepping = false; ///< a step of the engine is in progress
    bool alive = true;
    bool leaving = false;           ///< the VM will be removed soon
    time_point unreachable_until{}; ///< no token is delivered before this time

private:
    admission_settings settings_of(const deployment& deployment,
                                   const policy& tested_policy,
                                   const engine_settings& engine,
                                   bool no_deadlines) const;

    const deployment& deployment_;
    const std::vector<request>& requests_;
    admission_settings settings_;
    fake_engine engine_;
    std::unique_ptr<admission> admission_; ///< null: no admission control
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_BENCH_AGENT_HPP
