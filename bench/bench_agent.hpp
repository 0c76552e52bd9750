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
 * One upstream: a fake engine and, for our policies, the agent's admission
 * before it. The others give the engine all that comes.
 */
class bench_agent
{
public:
    bench_agent(const deployment& site, const policy& chosen,
                const engine_settings& engine, std::size_t index,
                const std::vector<request>& requests, bool patient);

    /** Takes work, or refuses it as the agent would. */
    outcome<void> take(std::uint64_t id, time_point deadline, bool suspect,
                       time_point now);
    /** Hands the engine what may start now. */
    void admit(time_point now);
    /** Ends a step: what was made is counted. */
    const fake_engine::step_result& end_step(time_point now);
    void cancel(std::uint64_t id, time_point now);
    /** The engine is gone; its work must be cancelled one by one. */
    void lose_engine();
    /** The engine's own report has come, late. */
    void engine_report(const engine_load_hint& hint, time_point now);

    engine_load_hint engine_load() const;
    load_report report(time_point now) const;
    fake_engine& engine() { return engine_; }

    const std::string name;
    const std::string failure_domain;
    bool stepping = false;
    bool alive = true;
    bool leaving = false;
    time_point cut_until{}; ///< its tokens reach nobody before

private:
    admission_settings settings_of(const deployment& site, const policy& chosen,
                                   const engine_settings& engine,
                                   bool patient) const;

    const deployment& site_;
    const std::vector<request>& requests_;
    admission_settings settings_;
    fake_engine engine_;
    std::unique_ptr<admission> gate_; ///< absent: all goes to the engine
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_BENCH_AGENT_HPP
