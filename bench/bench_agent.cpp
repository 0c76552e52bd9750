#include "bench_agent.hpp"

namespace cyclamenrun::bench
{

bench_agent::bench_agent(const deployment& deployment,
                         const policy& tested_policy,
                         const engine_settings& engine, std::size_t index,
                         const std::vector<request>& requests,
                         bool no_deadlines)
    : name("runner-" + std::to_string(index)),
      failure_domain(
          deployment
              .failure_domains[index % deployment.failure_domains.size()]),
      deployment_(deployment), requests_(requests),
      settings_(settings_of(deployment, tested_policy, engine, no_deadlines)),
      engine_(engine)
{
    if (tested_policy.uses_cyclamenrun())
        admission_ = std::make_unique<admission>(settings_);
}

admission_settings bench_agent::settings_of(const deployment& deployment,
                                            const policy& tested_policy,
                                            const engine_settings& engine,
                                            bool no_deadlines) const
{
    admission_settings settings = default_admission(deployment.goal);
    settings.memory_tokens = engine.memory_tokens;
    settings.block_tokens = prefix_block_tokens;
    settings.parts = {tested_policy.prediction, tested_policy.prefix,
                      tested_policy.fair_share, tested_policy.own_counts};
    settings.overflow_bound =
        tested_policy.overflow_bound.value_or(settings.overflow_bound);
    settings.short_first =
        tested_policy.short_first.value_or(settings.short_first);
    if (no_deadlines) {
        settings.max_queued = 1'000'000;
        settings.max_queued_prompt_tokens = 10'000'000'000;
        settings.max_wait = std::chrono::hours(24);
        settings.parts.fair_share = false;
    }
    if (tested_policy.kind == policy_kind::oracle)
        settings.known_length = [this](work_id id) {
            return std::optional(requests_[id].output_tokens);
        };
    return settings;
}

outcome<void> bench_agent::submit(std::uint64_t id, time_point deadline,
                                  bool suspect, time_point now)
{
    const request& incoming = requests_[id];
    if (!admission_) {
        engine_.add(id, incoming.prompt_tokens, incoming.output_tokens,
                    incoming.prefix_blocks, 0);
        return {};
    }
    const team_profile& team = deployment_.teams[incoming.team];
    waiting_work work;
    work.id = id;
    work.team = team.name;
    work.team_weight = team.weight;
    work.service = deployment_.service;
    work.prompt_tokens = incoming.prompt_tokens;
    work.max_output_tokens = 16'384;
    work.prefix_blocks = incoming.prefix_blocks;
    work.deadline = deadline;
    work.suspect = suspect;
    return admission_->enqueue(std::move(work), now);
}

void bench_agent::admit(time_point now)
{
    if (!admission_)
        return;
    for (const work_id id : admission_->admit(now)) {
        const request& incoming = requests_[id];
        engine_.add(id, incoming.prompt_tokens, incoming.output_tokens,
                    incoming.prefix_blocks, admission_->priority(id));
    }
}

const fake_engine::step_result& bench_agent::end_step(time_point now)
{
    const auto& result = engine_.end_step();
    if (!admission_)
        return result;
    for (const auto id : result.tokens)
        admission_->record_output_tokens(id, 1, now);
    for (const auto id : result.finished)
        admission_->record_end(id, true, now);
    return result;
}

void bench_agent::cancel(std::uint64_t id, time_point now)
{
    engine_.cancel(id);
    if (admission_)
        admission_->remove(id, now);
}

void bench_agent::fail_engine()
{
    engine_.reset();
}

void bench_agent::handle_engine_report(const engine_load_hint& hint,
                                       time_point now)
{
    if (admission_)
        admission_->update_engine_load(hint, now);
}

engine_load_hint bench_agent::engine_load() const
{
    return {engine_.running(), engine_.waiting(), engine_.memory_used()};
}

load_report bench_agent::report(time_point now) const
{
    load_report current;
    current.upstream = name;
    current.incarnation = 1;
    current.uptime =
        std::chrono::duration_cast<milliseconds>(now - time_point{});
    current.leaving = leaving;
    if (!admission_) {
        const engine_load_hint load = engine_load();
        current.running = load.running;
        current.queued = load.waiting;
        current.memory_tokens_used = load.memory_tokens_used;
        return current;
    }
    current.running = admission_->running();
    current.queued = admission_->queued();
    current.memory_tokens_used = admission_->memory_used();
    current.memory_tokens_total = admission_->memory_total();
    current.expected_wait = admission_->expected_wait(now);
    current.queued_tokens = admission_->queued_tokens();
    return current;
}

} // namespace cyclamenrun::bench
