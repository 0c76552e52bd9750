#include "bench_agent.hpp"

namespace cyclamenrun::bench
{

bench_agent::bench_agent(const deployment& site, const policy& chosen,
                         const engine_settings& engine, std::size_t index,
                         const std::vector<request>& requests, bool patient)
    : name("runner-" + std::to_string(index)),
      failure_domain(site.failure_domains[index % site.failure_domains.size()]),
      site_(site), requests_(requests),
      settings_(settings_of(site, chosen, engine, patient)), engine_(engine)
{
    if (chosen.ours())
        gate_ = std::make_unique<admission>(settings_);
}

admission_settings bench_agent::settings_of(const deployment& site,
                                            const policy& chosen,
                                            const engine_settings& engine,
                                            bool patient) const
{
    admission_settings made = default_admission(site.goal);
    made.memory_tokens = engine.memory_tokens;
    made.block_tokens = prefix_block_tokens;
    made.parts = {chosen.prediction, chosen.prefix, chosen.fair_share,
                  chosen.own_counts};
    made.overflow_bound = chosen.overflow_bound.value_or(made.overflow_bound);
    made.short_first = chosen.short_first.value_or(made.short_first);
    if (patient) {
        made.max_queued = 1'000'000;
        made.max_queued_prompt_tokens = 10'000'000'000;
        made.max_wait = std::chrono::hours(24);
        made.parts.fair_share = false;
    }
    if (chosen.kind == policy_kind::oracle)
        made.known_length = [this](work_id id) {
            return std::optional(requests_[id].output_tokens);
        };
    return made;
}

outcome<void> bench_agent::take(std::uint64_t id, time_point deadline,
                                bool suspect, time_point now)
{
    const request& asked = requests_[id];
    if (!gate_) {
        engine_.add(id, asked.prompt_tokens, asked.output_tokens,
                    asked.prefix_blocks, 0);
        return {};
    }
    const team_profile& team = site_.teams[asked.team];
    waiting_work work;
    work.id = id;
    work.team = team.name;
    work.team_weight = team.weight;
    work.service = site_.service;
    work.prompt_tokens = asked.prompt_tokens;
    work.max_output_tokens = 16'384;
    work.prefix_blocks = asked.prefix_blocks;
    work.deadline = deadline;
    work.suspect = suspect;
    return gate_->enqueue(std::move(work), now);
}

void bench_agent::admit(time_point now)
{
    if (!gate_)
        return;
    for (const work_id id : gate_->admit(now)) {
        const request& asked = requests_[id];
        engine_.add(id, asked.prompt_tokens, asked.output_tokens,
                    asked.prefix_blocks, gate_->priority(id));
    }
}

const fake_engine::step_result& bench_agent::end_step(time_point now)
{
    const auto& result = engine_.end_step();
    if (!gate_)
        return result;
    for (const auto id : result.tokens)
        gate_->tokens_made(id, 1, now);
    for (const auto id : result.finished)
        gate_->finished(id, true, now);
    return result;
}

void bench_agent::cancel(std::uint64_t id, time_point now)
{
    engine_.cancel(id);
    if (gate_)
        gate_->remove(id, now);
}

void bench_agent::lose_engine()
{
    engine_.reset();
}

void bench_agent::engine_report(const engine_load_hint& hint, time_point now)
{
    if (gate_)
        gate_->engine_load(hint, now);
}

engine_load_hint bench_agent::engine_load() const
{
    return {engine_.running(), engine_.waiting(), engine_.memory_used()};
}

load_report bench_agent::report(time_point now) const
{
    load_report made;
    made.upstream = name;
    made.incarnation = 1;
    made.uptime = std::chrono::duration_cast<milliseconds>(now - time_point{});
    made.leaving = leaving;
    if (!gate_) {
        const engine_load_hint load = engine_load();
        made.running = load.running;
        made.queued = load.waiting;
        made.memory_tokens_used = load.memory_tokens_used;
        return made;
    }
    made.running = gate_->running();
    made.queued = gate_->queued();
    made.memory_tokens_used = gate_->memory_used();
    made.memory_tokens_total = gate_->memory_total();
    made.expected_wait = gate_->expected_wait(now);
    made.queued_tokens = gate_->queued_tokens();
    return made;
}

} // namespace cyclamenrun::bench
