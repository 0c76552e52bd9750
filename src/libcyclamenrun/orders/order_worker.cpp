#include "order_worker.hpp"

#include "configuration_store.hpp"
#include "digest.hpp"
#include "log_event.hpp"

#include <algorithm>
#include <memory>
#include <random>

namespace cyclamenrun
{

namespace
{

/** Minimum pause between two steps, even if the runner requests less. */
constexpr milliseconds min_pause{20};
/**
 * Assumed number of agents that may load at once; the actual number is not
 * known here.
 */
constexpr std::size_t assumed_peers = 24;

order_queue::random_function uniform_random()
{
    auto engine = std::make_shared<std::mt19937_64>(random_u64());
    return [engine] {
        return std::uniform_real_distribution<double>(0.0, 1.0)(*engine);
    };
}

} // namespace

order_worker::order_worker(const order_worker_settings& settings,
                           platform_log& log, configuration_store& store,
                           order_runner::engine_function engine,
                           clock_function clock)
    : settings_(settings), store_(store), clock_(std::move(clock)),
      claims_(log, store), queue_(settings_.queue, uniform_random()),
      runner_(settings_.upstream, settings_.incarnation, settings_.lease,
              claims_, queue_, std::move(engine), clock_),
      thread_([this] { run(); })
{
}

order_worker::~order_worker()
{
    stop();
}

void order_worker::on_configuration()
{
    const std::scoped_lock lock(mutex_);
    configuration_changed_ = true;
    change_condition_.notify_all();
}

void order_worker::on_engine_restarted()
{
    const std::scoped_lock lock(mutex_);
    engine_restarted_ = true;
    change_condition_.notify_all();
}

void order_worker::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        change_condition_.notify_all();
    }
    if (thread_.joinable())
        thread_.join();
}

order_runner_state order_worker::state() const
{
    const std::scoped_lock lock(mutex_);
    return state_;
}

std::uint64_t order_worker::fencing_number() const
{
    const std::scoped_lock lock(mutex_);
    return fencing_number_;
}

void order_worker::run()
{
    while (true) {
        {
            const std::scoped_lock lock(mutex_);
            if (stopping_)
                return;
        }
        apply_changes();
        auto wake_at = time_point::max();
        if (!queue_.is_complete()) {
            const auto state = runner_.run_step();
            const std::scoped_lock lock(mutex_);
            state_ = state;
            fencing_number_ = runner_.fencing_number();
            wake_at = state == order_runner_state::stood_down
                          ? time_point::max()
                          : std::max(runner_.wake_at(), clock_() + min_pause);
        }
        wait_for_change(wake_at);
    }
}

void order_worker::apply_changes()
{
    bool configuration_changed = false;
    bool engine_restarted = false;
    {
        const std::scoped_lock lock(mutex_);
        configuration_changed = std::exchange(configuration_changed_, false);
        engine_restarted = std::exchange(engine_restarted_, false);
    }
    if (engine_restarted)
        queue_.on_engine_restarted(clock_());
    if (!configuration_changed)
        return;
    if (const auto view = store_.view())
        queue_.set_desired_orders(desired_orders(view->resources,
                                                 settings_.service,
                                                 settings_.upstream),
                                  assumed_peers, clock_());
}

void order_worker::wait_for_change(time_point deadline)
{
    std::unique_lock lock(mutex_);
    const auto has_change = [this] {
        return stopping_ || configuration_changed_ || engine_restarted_;
    };
    if (deadline == time_point::max())
        change_condition_.wait(lock, has_change);
    else
        change_condition_.wait_until(lock, deadline, has_change);
}

} // namespace cyclamenrun
