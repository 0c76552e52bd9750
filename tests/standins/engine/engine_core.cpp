#include "engine_core.hpp"

#include "../token_text.hpp"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <random>
#include <unistd.h>

namespace cyclamenrun::stand_in
{

engine_core::engine_core(engine_options options, history& events)
    : options_(options), events_(events),
      cache_(options.cache_blocks,
             std::chrono::milliseconds(options.cache_lag_ms),
             options.cache_gap),
      thread_([this] { loop(); })
{
}

engine_core::~engine_core()
{
    stop();
    thread_.join();
}

std::shared_ptr<engine_run> engine_core::start(run_parameters parameters)
{
    auto run = std::make_shared<engine_run>(std::move(parameters));
    run->prompt_tokens = count_tokens(run->parameters.prompt);
    run->target_tokens = draw_length(run->parameters);
    const std::lock_guard guard(lock_);
    run->sequence = next_sequence_++;
    record("start", *run);
    if (stopping_ || run->prompt_tokens >= options_.memory_tokens) {
        run->finish("error");
        return run;
    }
    const auto position = std::find_if(
        runs_.begin(), runs_.end(), [&run](const run_pointer& other) {
            return other->parameters.priority < run->parameters.priority;
        });
    runs_.insert(position, run);
    sample_load();
    changed_.notify_all();
    return run;
}

bool engine_core::cancel(const std::string& request_id,
                         const std::string& cause)
{
    const std::lock_guard guard(lock_);
    const auto found =
        std::find_if(runs_.begin(), runs_.end(), [&](const run_pointer& run) {
            return run->parameters.request_id == request_id;
        });
    if (found == runs_.end())
        return false;
    record("cancel", **found, cause);
    (*found)->finish("cancelled");
    runs_.erase(found);
    sample_load();
    return true;
}

void engine_core::stop()
{
    const std::lock_guard guard(lock_);
    stopping_ = true;
    for (const auto& run : runs_) {
        record("cancel", *run, "engine stopped");
        run->finish("cancelled");
    }
    runs_.clear();
    changed_.notify_all();
}

std::vector<std::string> engine_core::run_ids() const
{
    const std::lock_guard guard(lock_);
    std::vector<std::string> ids;
    for (const auto& run : runs_)
        ids.push_back(run->parameters.request_id);
    return ids;
}

load_sample engine_core::load() const
{
    const std::lock_guard guard(lock_);
    const auto visible =
        clock::now() - std::chrono::milliseconds(options_.load_lag_ms);
    while (samples_.size() > 1 && samples_[1].first <= visible)
        samples_.pop_front();
    if (samples_.empty() || samples_.front().first > visible)
        return {};
    return samples_.front().second;
}

void engine_core::stall(std::chrono::milliseconds span)
{
    const std::lock_guard guard(lock_);
    stalled_until_ = clock::now() + span;
}

void engine_core::slow_down(double factor)
{
    const std::lock_guard guard(lock_);
    slow_factor_ = factor;
}

void engine_core::die_at_token(std::uint64_t count)
{
    const std::lock_guard guard(lock_);
    die_at_token_ = count;
}

void engine_core::loop()
{
    std::unique_lock guard(lock_);
    auto next = clock::now();
    while (!stopping_) {
        if (runs_.empty()) {
            changed_.wait(guard,
                          [this] { return stopping_ || !runs_.empty(); });
            next = clock::now();
            continue;
        }
        const auto span = std::chrono::duration<double, std::milli>(
            options_.step_ms * slow_factor_);
        next += std::chrono::duration_cast<clock::duration>(span);
        next = std::max({next, clock::now(), stalled_until_});
        // Only stop() ends the wait for a step early.
        changed_.wait_until(guard, next, [this] { return stopping_; });
        if (!stopping_ && clock::now() >= stalled_until_)
            step();
    }
}

void engine_core::step()
{
    admit();
    make_room();
    auto budget = options_.prefill_tokens_per_step;
    for (const auto& run : runs_) {
        if (run->active && prefill(*run, budget))
            decode(*run);
    }
    remove_finished();
    sample_load();
}

void engine_core::admit()
{
    auto active = static_cast<std::uint64_t>(
        std::count_if(runs_.begin(), runs_.end(),
                      [](const run_pointer& run) { return run->active; }));
    while (const auto run = first_waiting()) {
        const auto wanted = memory_used() + run->memory_tokens() + 1;
        if (active == options_.max_batch || wanted > options_.memory_tokens)
            return;
        run->active = true;
        ++active;
        const auto cached_tokens = std::min(
            cache_.insert_prompt(run->parameters.prompt), run->prompt_tokens);
        run->prefill_left = run->memory_tokens() - cached_tokens;
    }
}

/** Preempts runs until each active one has memory for another token. */
void engine_core::make_room()
{
    for (;;) {
        const auto active =
            std::count_if(runs_.begin(), runs_.end(),
                          [](const run_pointer& run) { return run->active; });
        if (active <= 1 || memory_used() + active <= options_.memory_tokens)
            return;
        preempt(*last_active());
    }
}

/** Computes prompt tokens within the budget; true when prefill is done. */
bool engine_core::prefill(engine_run& run, std::uint64_t& budget)
{
    const auto share = std::min(budget, run.prefill_left);
    run.prefill_left -= share;
    budget -= share;
    return run.prefill_left == 0;
}

void engine_core::decode(engine_run& run)
{
    const auto crash_at = run.parameters.crash_at_token;
    if ((crash_at && *crash_at == run.generated_tokens) ||
        (die_at_token_ != 0 && die_at_token_ == run.generated_tokens))
        ::kill(::getpid(), SIGKILL);
    if (run.generated_tokens == 0)
        record("first_token", run);
    run.push(token_text(run.parameters.prompt, run.generated_tokens));
    ++run.generated_tokens;
}

void engine_core::preempt(engine_run& run)
{
    run.active = false;
    record("preempt", run);
}

void engine_core::remove_finished()
{
    std::erase_if(runs_, [this](const run_pointer& run) {
        const bool no_room = run->memory_tokens() >= options_.memory_tokens;
        if (run->generated_tokens < run->target_tokens && !no_room)
            return false;
        const bool cut =
            no_room || run->generated_tokens == run->parameters.max_tokens;
        record("end", *run);
        run->finish(cut ? "length" : "stop");
        return true;
    });
}

void engine_core::sample_load()
{
    load_sample sample;
    for (const auto& run : runs_)
        ++(run->active ? sample.running : sample.waiting);
    sample.memory_tokens_used = memory_used();
    if (samples_.empty() || samples_.back().second != sample)
        samples_.emplace_back(clock::now(), sample);
    const auto visible =
        clock::now() - std::chrono::milliseconds(options_.load_lag_ms);
    while (samples_.size() > 1 && samples_[1].first <= visible)
        samples_.pop_front();
}

engine_core::run_pointer engine_core::last_active() const
{
    const auto found =
        std::find_if(runs_.rbegin(), runs_.rend(),
                     [](const run_pointer& run) { return run->active; });
    return found == runs_.rend() ? nullptr : *found;
}

engine_core::run_pointer engine_core::first_waiting() const
{
    const auto found =
        std::find_if(runs_.begin(), runs_.end(),
                     [](const run_pointer& run) { return !run->active; });
    return found == runs_.end() ? nullptr : *found;
}

std::uint64_t engine_core::memory_used() const
{
    std::uint64_t used = 0;
    for (const auto& run : runs_)
        used += run->active ? run->memory_tokens() : 0;
    return used;
}

/** Draws a log-normal length: most are short, a few very long. */
std::uint64_t engine_core::draw_length(const run_parameters& parameters) const
{
    constexpr double sigma = 1.2;
    if (parameters.output_tokens)
        return std::min(*parameters.output_tokens, parameters.max_tokens);
    std::mt19937_64 random(hash64(parameters.prompt, options_.seed));
    std::lognormal_distribution<double> length(
        std::log(static_cast<double>(options_.median_output_tokens)), sigma);
    const auto drawn = static_cast<std::uint64_t>(length(random)) + 1;
    return std::min(drawn, parameters.max_tokens);
}

void engine_core::record(const char* event, const engine_run& run,
                         const std::string& cause)
{
    Poco::JSON::Object line;
    line.set("event", event);
    line.set("request_id", run.parameters.request_id);
    line.set("prompt_tokens", run.prompt_tokens);
    line.set("tokens", run.generated_tokens);
    if (!cause.empty())
        line.set("cause", cause);
    events_.add(line);
}

} // namespace cyclamenrun::stand_in
