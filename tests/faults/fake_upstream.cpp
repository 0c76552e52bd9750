#include "fake_upstream.hpp"

#include <algorithm>

namespace cyclamenrun::faults
{

namespace
{

constexpr milliseconds step_time{10};
constexpr milliseconds loss_detection_delay{20};
constexpr milliseconds restart_time{400};

std::uint64_t next_run_id()
{
    static std::uint64_t last = 0;
    return ++last;
}

} // namespace

std::string token_text(std::uint64_t run, std::uint64_t index)
{
    return std::to_string(run * token_stride + index);
}

std::string work_of_body(const std::string& body)
{
    return body;
}

std::string caller_request_id_of(const std::string& request_id)
{
    return request_id.substr(0, request_id.rfind('.'));
}

fake_upstream::fake_upstream(std::string name, virtual_time& time,
                             history& observed, moment_hook on_moment)
    : name_(std::move(name)), time_(time), history_(observed),
      on_moment_(std::move(on_moment))
{
}

void fake_upstream::attach(gate* gate)
{
    gate_ = gate;
    for (auto& [id, running] : runs_)
        running.owner = nullptr;
    if (gate_ == nullptr)
        return;
    ++incarnations_;
    // A new agent cancels generations that it did not start; calls run to
    // their end.
    std::erase_if(runs_, [](const auto& known) {
        return known.second.admitted.kind == link::WORK_KIND_GENERATION;
    });
    if (alive_)
        gate_->engine_ready(0, time_.now());
}

void fake_upstream::start(const admitted_work& admitted)
{
    if (!alive_) {
        gate_->run_failed(admitted.work, not_run(refusal_reason::no_upstream),
                          time_.now());
        return;
    }
    const auto id = next_run_id();
    runs_[id] = {admitted, 0, gate_};
    record(event_kind::run_begun, id, runs_[id], 0);
    on_moment_(run_moment::begun, admitted.request_id);
    time_.after(step_time, [this, id] { step(id); });
}

void fake_upstream::stop(work_id work)
{
    std::erase_if(runs_, [&](const auto& known) {
        return known.second.owner == gate_ &&
               known.second.admitted.work == work &&
               known.second.admitted.kind == link::WORK_KIND_GENERATION;
    });
}

void fake_upstream::crash()
{
    if (!alive_)
        return;
    alive_ = false;
    runs_.clear();
    time_.after(loss_detection_delay, [this] {
        if (gate_ != nullptr)
            gate_->engine_lost(time_.now());
    });
    time_.after(restart_time, [this] {
        alive_ = true;
        if (gate_ != nullptr)
            gate_->engine_ready(0, time_.now());
    });
}

void fake_upstream::pause(milliseconds pause)
{
    paused_until_ = std::max(paused_until_, time_.now() + pause);
}

milliseconds fake_upstream::delay() const
{
    return step_time + time_left(paused_until_, time_.now());
}

void fake_upstream::step(std::uint64_t id)
{
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    if (time_.now() < paused_until_) {
        time_.after(delay(), [this, id] { step(id); });
        return;
    }
    if (found->second.admitted.kind == link::WORK_KIND_CALL)
        finish_call(id, found->second);
    else
        step_generation(id, found->second);
}

void fake_upstream::step_generation(std::uint64_t id, run& running)
{
    const auto request_id = running.admitted.request_id;
    const auto work = running.admitted.work;
    auto* const owner = running.owner;
    if (running.tokens_made == 0)
        on_moment_(run_moment::prompt_processed, request_id);
    if (!runs_.contains(id))
        return;
    const auto index = running.tokens_made++;
    record(event_kind::run_token, id, running, index);
    const bool last = index + 1 == tokens;
    if (last)
        record(event_kind::run_ended, id, running, tokens);
    if (owner != nullptr)
        owner->record_token(work, token_text(id, index), time_.now());
    if (index == 0)
        on_moment_(run_moment::first_token, request_id);
    if (index == tokens / 2)
        on_moment_(run_moment::mid_stream, request_id);
    if (last)
        on_moment_(run_moment::last_token, request_id);
    if (!runs_.contains(id))
        return;
    if (!last) {
        time_.after(delay(), [this, id] { step(id); });
        return;
    }
    const auto finisher = running.owner;
    runs_.erase(id);
    if (finisher != nullptr)
        finisher->record_finish(work, "stop", time_.now());
}

void fake_upstream::finish_call(std::uint64_t id, run& running)
{
    const auto work = running.admitted.work;
    record(event_kind::run_ended, id, running, 0);
    on_moment_(run_moment::effect, running.admitted.request_id);
    const auto found = runs_.find(id);
    if (found == runs_.end())
        return;
    auto* const owner = found->second.owner;
    runs_.erase(found);
    if (owner == nullptr)
        return;
    if (loses_next_answer_) {
        loses_next_answer_ = false;
        owner->run_failed(work, outcome_unknown(refusal_reason::upstream_lost),
                          time_.now());
        return;
    }
    owner->record_answer(work, {200, "text/plain", std::to_string(id)},
                         time_.now());
}

void fake_upstream::record(event_kind kind, std::uint64_t id,
                           const run& running, std::uint64_t index)
{
    event observed;
    observed.kind = kind;
    observed.at_ms = time_.now_ms();
    observed.work = work_of_body(running.admitted.body);
    observed.caller_request_id =
        caller_request_id_of(running.admitted.request_id);
    observed.upstream = incarnation_name();
    observed.run = id;
    observed.index = index;
    history_.events.push_back(observed);
}

} // namespace cyclamenrun::faults
