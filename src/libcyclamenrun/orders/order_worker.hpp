#ifndef CYCLAMENRUN_ORDER_WORKER_HPP
#define CYCLAMENRUN_ORDER_WORKER_HPP

#include "clock.hpp"
#include "order_claims.hpp"
#include "order_queue.hpp"
#include "order_runner.hpp"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace cyclamenrun
{

class configuration_store;
class platform_log;

/** The upstream whose engine a worker controls, and the limits that apply. */
struct order_worker_settings {
    std::string upstream;
    std::string service;
    std::uint64_t incarnation = 0;
    order_lease_settings lease;
    order_queue_settings queue;
};

/**
 * Reconciles the engine with the current assignments on a thread of its own.
 * The thread sleeps until the configuration changes, the engine restarts or the
 * next order is due. Without assignments it never reads the log.
 */
class order_worker
{
public:
    order_worker(const order_worker_settings& settings, platform_log& log,
                 configuration_store& store,
                 order_runner::engine_function engine, clock_function clock);
    order_worker(const order_worker&) = delete;
    order_worker& operator=(const order_worker&) = delete;
    ~order_worker();

    /** Handles a change of the current configuration. */
    void on_configuration();
    /** Handles a restart of the engine, which has nothing loaded then. */
    void on_engine_restarted();
    void stop();

    // Shown in the dump.
    order_runner_state state() const;
    std::uint64_t fencing_number() const;

private:
    void run();
    /** Applies the changes that were reported since the last call. */
    void apply_changes();
    void wait_for_change(time_point deadline);

    order_worker_settings settings_;
    configuration_store& store_;
    clock_function clock_;
    order_claims claims_;
    order_queue queue_;   ///< used on the worker's thread only
    order_runner runner_; ///< used on the worker's thread only

    mutable std::mutex mutex_;
    std::condition_variable change_condition_;
    bool configuration_changed_ = true;
    bool engine_restarted_ = false;
    bool stopping_ = false;
    order_runner_state state_ = order_runner_state::settled;
    std::uint64_t fencing_number_ = 0;

    std::thread thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ORDER_WORKER_HPP
