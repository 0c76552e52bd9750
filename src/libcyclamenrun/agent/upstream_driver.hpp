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
    http_limits http;
    /** Between looks at an engine that runs nothing. */
    milliseconds idle_probe{5'000};
    /** Between looks at one that runs something, or does not answer. */
    milliseconds busy_probe{1'000};
    milliseconds probe_timeout{2'000};
};

/**
 * Runs on the upstream what the gate has admitted and tells the gate what
 * came of it. Each run has a thread of its own, since the upstream's client
 * blocks; one more watches the engine.
 */
class upstream_driver
{
public:
    upstream_driver(upstream_driver_settings settings, clock_function clock);
    upstream_driver(const upstream_driver&) = delete;
    upstream_driver& operator=(const upstream_driver&) = delete;
    ~upstream_driver();

    /** To be called once, before anything is started. */
    void attach(gate& gate);
    void start(const run_order& order);
    void stop(work_id work);
    /** Cancels all that still runs and waits for the threads. */
    void shut_down();

    /** Gives the engine an order and waits for its answer. */
    order_result give(const engine_order& order);
    /** Called on the watcher's thread when a new life of it has come up. */
    void on_engine_started(std::function<void()> hook);

private:
    struct active_run {
        cancellation cancel;
        time_point deadline;
    };
    class run_task;

    void run(const run_order& order, active_run& active);
    void run_generation(const run_order& order, active_run& active);
    void run_call(const run_order& order, active_run& active);
    void generation_failed(const run_order& order, const engine_error& error);
    void forget(work_id work);

    void watch();
    bool take_over();
    /** False if it does not answer, or in another life. */
    bool look_at_engine();
    bool heard_lately() const;
    /** Waits until the next look at the engine is due. */
    void rest();
    /** True if something made it shorter. */
    bool pause(milliseconds pause);
    bool stopping() const;
    void engine_is_lost();

    upstream_driver_settings settings_;
    clock_function clock_;
    engine_client engine_;
    runner_client runner_;
    gate* gate_ = nullptr;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::unordered_map<work_id, std::shared_ptr<active_run>> active_;
    std::uint64_t epoch_ = 0; // of the engine's life that we run on; 0: none
    bool stopping_ = false;
    bool look_now_ = false;
    std::function<void()> engine_started_;
    std::atomic<time_point> heard_at_{time_point{}}; ///< the last token

    Poco::ThreadPool threads_;
    std::thread watcher_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_DRIVER_HPP
