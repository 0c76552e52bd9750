#ifndef CYCLAMENRUN_UPSTREAM_DRIVER_HPP
#define CYCLAMENRUN_UPSTREAM_DRIVER_HPP

#include "cancellation.hpp"
#include "clock.hpp"
#include "engine_client.hpp"
#include "gate.hpp"
#include "order_queue.hpp"
#include "runner_client.hpp"
#include "upstream_kind.hpp"

#include <Poco/ThreadPool.h>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace cyclamenrun
{

struct upstream_driver_settings {
    std::string address; ///< IP:PORT of the upstream
    upstream_kind kind = upstream_kind::model;
    std::uint32_t max_running = 64;
    exchange_limits http;
    /** Bound on a runner's answer, which is kept until it is whole. */
    std::size_t max_call_answer_bytes = gate_settings{}.max_answer_bytes;
    /** Interval between polls of an engine without runs. */
    milliseconds idle_poll_interval{5'000};
    /** Interval between polls of an engine that has runs or doesn't answer. */
    milliseconds busy_poll_interval{1'000};
    milliseconds poll_timeout{2'000};
};

/**
 * Runs admitted work on the upstream and reports the results to the gate.
 * Each run has its own thread, since the upstream's client blocks. One more
 * thread polls the engine.
 */
class upstream_driver
{
public:
    upstream_driver(upstream_driver_settings settings, clock_function clock);
    upstream_driver(const upstream_driver&) = delete;
    upstream_driver& operator=(const upstream_driver&) = delete;
    ~upstream_driver();

    /** Sets the gate and starts polling. Call once, before start(). */
    void attach(gate& gate);
    void start(const admitted_work& admitted);
    void stop(work_id work);
    /** Cancels all runs and waits for all threads to end. */
    void shut_down();

    /** Sends an order to the engine and waits for the answer. */
    order_result send_order(const engine_order& order);
    /** Sets a hook that the polling thread calls when the engine is ready. */
    void on_engine_ready(std::function<void()> hook);

private:
    struct active_run {
        cancellation cancel;
        time_point deadline;
    };
    class run_task;

    void run(const admitted_work& admitted, active_run& active);
    void run_generation(const admitted_work& admitted, active_run& active);
    void run_call(const admitted_work& admitted, active_run& active);
    void handle_generation_failure(const admitted_work& admitted,
                                   const engine_error& error);
    void remove_run(work_id work);

    void poll_until_stopped();
    bool initialize_engine();
    /** True if the upstream has asked for rest. */
    bool resting() const;
    void watch_leaving_runner();
    /** False if the engine does not answer, or has restarted. */
    bool poll_engine();
    bool received_token_recently() const;
    /** Waits until the next poll of the engine is due. */
    void wait_for_next_poll();
    /** Waits; returns true if woken before the time is up. */
    bool pause(milliseconds timeout);
    bool stopping() const;
    void handle_engine_loss();

    upstream_driver_settings settings_;
    clock_function clock_;
    engine_client engine_;
    runner_client runner_;
    gate* gate_ = nullptr;

    mutable std::mutex mutex_;
    std::condition_variable wake_up_;
    std::unordered_map<work_id, std::shared_ptr<active_run>> active_;
    std::uint64_t epoch_ = 0; ///< of the engine; 0: no engine is available
    bool stopping_ = false;
    bool poll_now_ = false;
    std::function<void()> engine_ready_hook_;
    std::atomic<time_point> last_token_at_{time_point{}};

    Poco::ThreadPool threads_;
    std::thread poll_thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_DRIVER_HPP
