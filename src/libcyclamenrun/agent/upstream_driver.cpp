#include "upstream_driver.hpp"

#include "log_event.hpp"

#include <Poco/Exception.h>
#include <Poco/Runnable.h>
#include <algorithm>

namespace cyclamenrun
{

namespace
{

constexpr int http_conflict = 409;
constexpr int http_too_many_requests = 429;
constexpr int http_unavailable = 503;
constexpr int run_stack_bytes = 256 * 1024;
constexpr int idle_thread_seconds = 30;
/** How long the driver waits for an engine to end cancelled runs. */
constexpr milliseconds cancel_timeout{5'000};
constexpr milliseconds cancel_poll_interval{50};
/** How long a runner that leaves may go on at its address. */
constexpr milliseconds longest_leave{60'000};

std::string engine_request_id(const admitted_work& admitted)
{
    return admitted.request_id;
}

refusal refusal_of(const engine_error& error)
{
    if (error.rest)
        return not_run(refusal_reason::upstream_resting,
                       "the engine asks for rest", *error.rest);
    if (!error.may_have_run)
        return not_run(refusal_reason::no_upstream,
                       std::string(name_of(error.failure)), milliseconds(1000));
    if (error.failure == engine_failure::timed_out)
        return failed(refusal_reason::deadline_passed);
    if (error.failure == engine_failure::too_large)
        return failed(refusal_reason::answer_too_large);
    if (error.failure == engine_failure::bad_status && error.status >= 400 &&
        error.status < 500)
        return not_run(refusal_reason::bad_request,
                       "the engine refused the request");
    return failed(refusal_reason::engine_error,
                  std::string(name_of(error.failure)));
}

refusal refusal_of(const http_error& error)
{
    const std::string detail(name_of(error.failure));
    if (!error.may_have_run)
        return not_run(refusal_reason::no_upstream, detail, milliseconds(1000));
    if (error.failure == http_failure::timed_out)
        return outcome_unknown(refusal_reason::deadline_passed, detail);
    if (error.failure == http_failure::too_large ||
        error.failure == http_failure::no_room)
        return outcome_unknown(refusal_reason::answer_too_large, detail);
    return outcome_unknown(refusal_reason::upstream_lost, detail);
}

/** The gate refuses longer answers, so no more of them is read. */
exchange_limits runner_limits(const upstream_driver_settings& settings)
{
    auto limits = settings.http;
    limits.max_answer_bytes = settings.max_call_answer_bytes;
    return limits;
}

bool may_be_engine_loss(engine_failure failure)
{
    return failure == engine_failure::connect_failed ||
           failure == engine_failure::lost_before_answer ||
           failure == engine_failure::lost_mid_stream ||
           failure == engine_failure::epoch_changed;
}

} // namespace

/** One run on a thread of the pool. Deletes itself when the run ends. */
class upstream_driver::run_task : public Poco::Runnable
{
public:
    run_task(upstream_driver& driver, admitted_work admitted,
             std::shared_ptr<active_run> active)
        : driver_(driver), admitted_(std::move(admitted)),
          active_(std::move(active))
    {
    }

    void run() override
    {
        const std::unique_ptr<run_task> self(this);
        driver_.run(admitted_, *active_);
        driver_.remove_run(admitted_.work);
    }

private:
    upstream_driver& driver_;
    admitted_work admitted_;
    std::shared_ptr<active_run> active_;
};

upstream_driver::upstream_driver(upstream_driver_settings settings,
                                 clock_function clock)
    : settings_(std::move(settings)), clock_(std::move(clock)),
      engine_(settings_.address, settings_.http, clock_),
      runner_(settings_.address, runner_limits(settings_), clock_),
      threads_(2, static_cast<int>(settings_.max_running) * 2 + 8,
               idle_thread_seconds)
{
    threads_.setStackSize(run_stack_bytes);
}

upstream_driver::~upstream_driver()
{
    shut_down();
}

void upstream_driver::attach(gate& gate)
{
    gate_ = &gate;
    const auto on_notice = [this](const upstream_notice& notice) {
        gate_->record_notice(notice, clock_());
    };
    engine_.on_notice(on_notice);
    runner_.on_notice(on_notice);
    poll_thread_ = std::thread([this] { poll_until_stopped(); });
}

void upstream_driver::start(const admitted_work& admitted)
{
    const auto active = std::make_shared<active_run>();
    active->deadline = admitted.deadline;
    {
        const std::scoped_lock lock(mutex_);
        if (active_.empty()) {
            poll_now_ = true;
            wake_up_.notify_all();
        }
        active_[admitted.work] = active;
    }
    // Guards against a stop() that came before the run was added to active_
    // and so had no effect. should_run() is false then.
    if (!gate_->should_run(admitted.work)) {
        remove_run(admitted.work);
        return;
    }
    // NOLINTNEXTLINE(cppcoreguidelines-owning-memory): deletes itself
    auto task = std::make_unique<run_task>(*this, admitted, active);
    try {
        threads_.start(*task);
        (void)task.release();
    } catch (const Poco::NoThreadAvailableException&) {
        remove_run(admitted.work);
        gate_->run_failed(
            admitted.work,
            not_run(refusal_reason::queue_full,
                    "the agent has no free thread for the request"),
            clock_());
    }
}

void upstream_driver::stop(work_id work)
{
    std::shared_ptr<active_run> active;
    {
        const std::scoped_lock lock(mutex_);
        const auto found = active_.find(work);
        if (found == active_.end())
            return;
        active = found->second;
    }
    active->cancel.cancel();
}

void upstream_driver::shut_down()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
        for (const auto& [work, active] : active_)
            active->cancel.cancel();
        wake_up_.notify_all();
    }
    threads_.joinAll();
    if (poll_thread_.joinable())
        poll_thread_.join();
}

order_result upstream_driver::send_order(const engine_order& order)
{
    if (resting())
        return order_result::store_limited;
    const auto sent = engine_.order(order);
    if (sent)
        return order_result::done;
    switch (sent.error().status) {
    case http_conflict:
        return order_result::stale_fencing_number;
    case http_too_many_requests:
    case http_unavailable:
        return order_result::store_limited;
    default:
        return order_result::failed;
    }
}

void upstream_driver::on_engine_ready(std::function<void()> hook)
{
    engine_ready_hook_ = std::move(hook);
}

void upstream_driver::run(const admitted_work& admitted, active_run& active)
{
    if (admitted.kind == link::WORK_KIND_CALL)
        run_call(admitted, active);
    else
        run_generation(admitted, active);
}

void upstream_driver::run_generation(const admitted_work& admitted,
                                     active_run& active)
{
    engine_request request;
    request.request_id = engine_request_id(admitted);
    request.path = admitted.path;
    request.body = admitted.body;
    request.priority = admitted.priority;
    request.deadline = admitted.deadline;
    {
        const std::scoped_lock lock(mutex_);
        request.expected_epoch = epoch_;
    }
    const engine_events events{[this, &admitted](const std::string& text) {
        const auto now = clock_();
        last_token_at_ = now;
        gate_->record_token(admitted.work, text, now);
    }};
    const auto result = engine_.run(request, events, active.cancel);
    if (result)
        gate_->record_finish(admitted.work, result->finish_reason, clock_());
    else
        handle_generation_failure(admitted, result.error());
}

void upstream_driver::handle_generation_failure(const admitted_work& admitted,
                                                const engine_error& error)
{
    // A lost engine can make the request a suspect; a failure of only this run
    // does not. The engine is polled at once to tell the two cases apart.
    if (may_be_engine_loss(error.failure) && gate_->should_run(admitted.work) &&
        !poll_engine()) {
        handle_engine_loss();
        return;
    }
    gate_->run_failed(admitted.work, refusal_of(error), clock_());
}

void upstream_driver::run_call(const admitted_work& admitted,
                               active_run& active)
{
    runner_request request;
    request.request_id = admitted.request_id;
    request.path = admitted.path;
    request.content_type = "application/json";
    request.body = admitted.body;
    request.deadline = admitted.deadline;
    auto result = runner_.call(request, active.cancel);
    if (result)
        gate_->record_answer(admitted.work,
                             {result->status, std::move(result->content_type),
                              std::move(result->body),
                              result->integrity == answer_integrity::whole},
                             clock_());
    else
        gate_->run_failed(admitted.work, refusal_of(result.error()), clock_());
}

void upstream_driver::remove_run(work_id work)
{
    const std::scoped_lock lock(mutex_);
    active_.erase(work);
}

void upstream_driver::poll_until_stopped()
{
    if (settings_.kind == upstream_kind::application) {
        gate_->engine_ready(0, clock_());
        watch_leaving_runner();
        return;
    }
    while (!stopping()) {
        if (resting() || !initialize_engine()) {
            pause(std::max(settings_.busy_poll_interval,
                           gate_->rest_left(clock_())));
            continue;
        }
        while (!stopping() && (poll_engine() || received_token_recently()))
            wait_for_next_poll();
        if (!stopping())
            handle_engine_loss();
    }
}

bool upstream_driver::resting() const
{
    return gate_->rest_left(clock_()) > milliseconds::zero();
}

/**
 * A runner has no epoch that would show another process at its address: one
 * that has left counts as replaced when the address was without a listener, or
 * after a while.
 */
void upstream_driver::watch_leaving_runner()
{
    std::optional<time_point> leaving_until;
    bool ended = false;
    while (!stopping()) {
        pause(settings_.busy_poll_interval);
        if (!gate_->upstream_leaving()) {
            leaving_until.reset();
            continue;
        }
        const auto now = clock_();
        if (!leaving_until)
            leaving_until = now + longest_leave;
        const bool ends = runner_.has_ended();
        if (!ends && (ended || now >= *leaving_until))
            gate_->engine_ready(0, now);
        ended = ends;
    }
}

bool upstream_driver::poll_engine()
{
    // An engine that rests is not queried, and it has just responded.
    if (resting())
        return true;
    const auto load = engine_.load(clock_() + settings_.poll_timeout);
    if (!load)
        return resting();
    {
        const std::scoped_lock lock(mutex_);
        if (epoch_ == 0 || engine_.epoch() != epoch_)
            return false;
    }
    gate_->update_engine_load(
        {load->running, load->waiting, load->memory_tokens_used}, clock_());
    return true;
}

/** An engine that sends tokens is alive even if it doesn't answer polls. */
bool upstream_driver::received_token_recently() const
{
    const std::scoped_lock lock(mutex_);
    return epoch_ != 0 &&
           clock_() - last_token_at_.load() < settings_.busy_poll_interval;
}

void upstream_driver::wait_for_next_poll()
{
    if (const auto rest = gate_->rest_left(clock_()); rest.count() > 0) {
        pause(rest);
        return;
    }
    const bool busy = gate_->load(clock_()).running() > 0;
    const bool woken = pause(busy ? settings_.busy_poll_interval
                                  : settings_.idle_poll_interval);
    // A run that starts on an idle engine ends the wait early. The next poll
    // follows one busy interval later, so that an engine that freezes just
    // after the start is not detected only after the idle interval.
    if (woken && !busy)
        pause(settings_.busy_poll_interval);
}

/**
 * Guards against runs that an earlier incarnation of the agent left on the
 * engine: no reader fetches their output, and they use memory that admission
 * counts as free. The driver cancels these runs before the gate admits any
 * work. If some runs don't end in time, the driver reports the engine's used
 * memory as used by work outside this process.
 */
bool upstream_driver::initialize_engine()
{
    const auto cancel_deadline = clock_() + cancel_timeout;
    auto runs = engine_.runs(clock_() + settings_.poll_timeout);
    while (runs && !runs->empty() && clock_() < cancel_deadline &&
           !stopping()) {
        for (const auto& id : *runs)
            (void)engine_.cancel(id, clock_() + settings_.poll_timeout);
        pause(cancel_poll_interval);
        runs = engine_.runs(clock_() + settings_.poll_timeout);
    }
    if (!runs)
        return false;
    std::uint64_t external_tokens = 0;
    if (!runs->empty()) {
        const auto load = engine_.load(clock_() + settings_.poll_timeout);
        if (load)
            external_tokens = load->memory_tokens_used;
    }
    {
        const std::scoped_lock lock(mutex_);
        epoch_ = engine_.epoch();
    }
    log_event(log_severity::info, log_event_name::upstream_recovered,
              {{log_key::address, settings_.address},
               {log_key::incarnation, engine_.epoch()}});
    gate_->engine_ready(external_tokens, clock_());
    if (engine_ready_hook_)
        engine_ready_hook_();
    return true;
}

void upstream_driver::handle_engine_loss()
{
    {
        const std::scoped_lock lock(mutex_);
        if (epoch_ == 0)
            return;
        epoch_ = 0;
        poll_now_ = true;
        wake_up_.notify_all();
    }
    log_event(log_severity::warning, log_event_name::upstream_lost,
              {{log_key::address, settings_.address}});
    gate_->engine_lost(clock_());
}

bool upstream_driver::pause(milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    const bool woken = wake_up_.wait_for(
        lock, timeout, [this] { return stopping_ || poll_now_; });
    poll_now_ = false;
    return woken;
}

bool upstream_driver::stopping() const
{
    const std::scoped_lock lock(mutex_);
    return stopping_;
}

} // namespace cyclamenrun
