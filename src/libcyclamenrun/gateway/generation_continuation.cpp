#include "generation_continuation.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * A continuation has no other place to go: it waits so long for room at a cold
 * upstream, then it is sent without. Callers see the wait as a pause.
 */
constexpr milliseconds max_wait_for_cold_room{1000};

/**
 * Time after which a lost run that can't be stopped is given up. Callers
 * abandon a stream after a pause of some seconds.
 */
constexpr milliseconds max_wait_for_end{5000};

} // namespace

generation_continuation::generation_continuation(gateway_context& context,
                                                 served_request& served,
                                                 request_conclusion& conclusion,
                                                 hooks on)
    : context_(context), served_(served), conclusion_(conclusion),
      on_(std::move(on))
{
}

void generation_continuation::choose_backup(const upstream_record& upstream)
{
    backup_.reset();
    if (!served_.profile.allows_backup() ||
        !context_.backups.should_back_up(context_.reactor->now()))
        return;
    backup_ = context_.choice.for_backup(served_.service,
                                         make_placement_request(upstream),
                                         upstream.id, context_.reactor->now());
    if (backup_)
        conclusion_.recorder().backed_up(served_.service, backup_->id);
}

placement_request generation_continuation::make_placement_request(
    const upstream_record& source) const
{
    auto request =
        served_.profile.make_placement_request(source.failure_domain);
    request.gateways = context_.monitored_gateways;
    request.version = stream_version(source);
    return request;
}

std::string
generation_continuation::stream_version(const upstream_record& source) const
{
    return served_.version ? *served_.version : context_.version_of(source);
}

void generation_continuation::engine_leaving(
    const upstream_record& engine, std::optional<time_point> leaves_at)
{
    const auto* traits = served_.profile.engine();
    // A generation that has not begun cannot be moved; the exchange reports the
    // engine again at its first event.
    if (!conclusion_.answer().begun() || traits == nullptr || !traits->moves ||
        !served_.profile.outlives(leaves_at, context_.reactor->now()))
        return;
    if (!mover_)
        mover_ = make_mover();
    mover_->source_leaving(engine);
}

std::shared_ptr<generation_mover> generation_continuation::make_mover()
{
    return std::make_shared<generation_mover>(context_, served_.facts.id,
                                              mover_hooks());
}

std::uint64_t generation_continuation::memory_tokens() const
{
    const auto first = conclusion_.answer().time_to_first_part();
    const auto age =
        time_since(served_.request.arrived, context_.reactor->now());
    return served_.profile.memory_tokens(first ? age - *first
                                               : milliseconds(0));
}

generation_mover::hooks generation_continuation::mover_hooks()
{
    generation_mover::hooks on;
    on.memory_tokens = [this] { return memory_tokens(); };
    on.has_destination = [this](const upstream_record& source) {
        return context_.choice.any_fits(served_.service, {source.id},
                                        stream_version(source),
                                        context_.reactor->now());
    };
    on.reserve = [this] {
        return !is_convicted() && conclusion_.reserve_repeat();
    };
    on.spend = [this] { return !is_convicted() && conclusion_.spend_repeat(); };
    on.release = [this] { conclusion_.release_repeat(); };
    on.runs_at = [this](const upstream_record& source) {
        const auto* current = on_.current();
        return current != nullptr && current->id == source.id;
    };
    on.destination = [this](const upstream_record& source,
                            const std::string& refused_by) {
        return choose_destination(source, {source.id, refused_by});
    };
    on.candidates = [this](const upstream_record& source,
                           const std::vector<std::string>& exclude,
                           std::size_t count) {
        return context_.choice.copy_candidates(
            served_.service, make_placement_request(source), exclude, count,
            context_.reactor->now());
    };
    on.cost = [this](const upstream_record& source,
                     const upstream_record& engine) {
        return context_.choice.copy_cost(engine, make_placement_request(source),
                                         context_.reactor->now());
    };
    on.drop_source = [this] { on_.drop_attempt(); };
    on.resume = [this](const ended_run& run) {
        resume_at(run, *run.holder(), *run.memory());
    };
    on.lost = [this](const upstream_record& source) {
        if (resume_after_loss(source, upstream_liveness::unchecked))
            return;
        // Copied, since the call may destroy the exchange and this object.
        const auto lost = on_.lost;
        lost();
    };
    on.step = [this](move_step step, const upstream_record& engine) {
        conclusion_.recorder().move_step_taken(step, engine.id);
    };
    on.move_ended = [this](const upstream_record& source,
                           const upstream_record& to,
                           std::optional<move_failure> failure) {
        conclusion_.recorder().move_ended(served_.service, source.id, to.id,
                                          failure);
    };
    return on;
}

void generation_continuation::resume_at(const ended_run& run,
                                        const upstream_record& upstream,
                                        const continuation& from)
{
    if (context_.choice.is_evacuated(upstream)) {
        resume_outside(run, upstream, from);
        return;
    }
    const auto now = context_.reactor->now();
    auto wait = std::max(context_.notices.rest_left(upstream.id, now),
                         wait_for_cold_room(upstream.id));
    const auto admission = on_.admit();
    if (admission == poison_admission::wait)
        wait = std::max(wait, poison_wait);
    const bool may_go_on = admission != poison_admission::refused;
    if (may_go_on && wait == milliseconds::zero()) {
        send_continuation(run, upstream, from);
        return;
    }
    if (may_go_on && now + wait < served_.admitted.deadline) {
        on_.post_at(now + wait, [this, run, upstream, from] {
            resume_at(run, upstream, from);
        });
        return;
    }
    // Copied, since the call may destroy the exchange and this object.
    const auto lost = on_.lost;
    lost();
}

const upstream_record*
generation_continuation::usable_source(const continuation& from) const
{
    for (const auto& id : served_.tried) {
        const auto* state = context_.upstreams.find(id);
        if (state != nullptr && state->record.address == from.source &&
            !context_.choice.is_evacuated(state->record))
            return &state->record;
    }
    return nullptr;
}

void generation_continuation::resume_outside(const ended_run& run,
                                             const upstream_record& evacuated,
                                             const continuation& from)
{
    // The source of a move still holds the memory of the stopped run.
    const auto* source = usable_source(from);
    if (source != nullptr && source->id != evacuated.id) {
        resume_at(run, upstream_record(*source), from);
        return;
    }
    if (resume_at_backup(run))
        return;
    // Copied, since the call may destroy the exchange and this object.
    const auto lost = on_.lost;
    lost();
}

milliseconds
generation_continuation::wait_for_cold_room(const std::string& upstream_id)
{
    const auto now = context_.reactor->now();
    const auto wait = context_.limits.cold().time_to_room(upstream_id, now);
    if (wait == milliseconds::zero()) {
        cold_room_until_.reset();
        return wait;
    }
    if (!cold_room_until_)
        cold_room_until_ = now + max_wait_for_cold_room;
    return now + wait <= *cold_room_until_ ? wait : milliseconds(0);
}

void generation_continuation::send_continuation(const ended_run& run,
                                                const upstream_record& upstream,
                                                const continuation& from)
{
    cold_room_until_.reset();
    continued_ = run;
    // Copied, since the call may destroy the exchange and this object.
    const auto send = on_.send;
    if (!send(upstream, from))
        return;
    const auto* state = context_.upstreams.find(upstream.id);
    if (state != nullptr && state->leaving)
        engine_leaving(upstream, state->leaves_at);
}

bool generation_continuation::resume_at_source()
{
    if (!from_ || !continued_)
        return false;
    // The engine that stopped the generation may still hold its memory.
    const auto from = *from_;
    for (const auto& id : served_.tried) {
        const auto* state = context_.upstreams.find(id);
        if (id == served_.tried.back() || state == nullptr ||
            state->record.address != from.source ||
            context_.choice.is_evacuated(state->record))
            continue;
        if (!conclusion_.reserve_repeat())
            return false;
        const auto record = state->record;
        conclusion_.record_attempt("turned_away", "back_to_source");
        resume_at(ended_run(*continued_), record, from);
        return true;
    }
    return false;
}

std::optional<upstream_record> generation_continuation::usable_backup() const
{
    const auto* state =
        backup_ ? context_.upstreams.find(backup_->id) : nullptr;
    if (state == nullptr || state->record != *backup_ ||
        context_.choice.is_evacuated(*backup_))
        return std::nullopt;
    return backup_;
}

bool generation_continuation::resume_at_backup(const ended_run& ended)
{
    const auto backup = usable_backup();
    backup_.reset();
    const auto now = context_.reactor->now();
    if (!backup || now >= served_.admitted.deadline || is_convicted() ||
        !conclusion_.reserve_repeat())
        return false;
    conclusion_.record_attempt(name_of(ended.how()), "from_backup");
    conclusion_.recorder().resumed_from_backup(served_.service, backup->id);
    resume_at(ended, *backup, {backup->address, served_.facts.id});
    return true;
}

bool generation_continuation::resume_after_loss(const upstream_record& source,
                                                upstream_liveness found)
{
    const auto* traits = served_.profile.engine();
    if (traits == nullptr)
        return false;
    if (const auto ended = ended_run::from_check(found))
        return resume_at_backup(*ended);
    auto destination = usable_backup();
    // A run of which the caller has nothing may as well begin again.
    if (!destination && !conclusion_.answer().begun())
        return false;
    if (!destination)
        destination = choose_stop_destination(source);
    const bool can_go_on = destination || served_.admitted.route->resumable;
    if (!can_go_on || is_convicted() || !conclusion_.reserve_repeat())
        return false;
    stop_run(source, traits->moves ? destination : std::nullopt);
    return true;
}

std::optional<upstream_record>
generation_continuation::choose_stop_destination(const upstream_record& source)
{
    if (auto destination = choose_destination(source, {source.id}))
        return destination;
    return context_.choice.any_fitting(served_.service, {source.id},
                                       stream_version(source),
                                       context_.reactor->now());
}

void generation_continuation::stop_run(
    const upstream_record& source,
    const std::optional<upstream_record>& destination)
{
    conclusion_.record_attempt("lost", "stop_first");
    run_stop::hooks on;
    on.ended = [this](const ended_run& ended) { handle_stopped(ended); };
    on.given_up = [this] {
        stop_.reset();
        conclusion_.recorder().lost_run_ended(served_.service, std::nullopt);
        // Copied, since the call may destroy the exchange and this object.
        const auto unstoppable = on_.unstoppable;
        unstoppable();
    };
    stop_ = std::make_shared<run_stop>(
        context_, served_.facts.id, source, destination,
        std::min(context_.reactor->now() + max_wait_for_end,
                 served_.admitted.deadline),
        std::move(on));
    stop_->start();
}

void generation_continuation::handle_stopped(const ended_run& ended)
{
    const auto stop = std::exchange(stop_, nullptr);
    conclusion_.recorder().lost_run_ended(served_.service, ended.how());
    const auto& memory = ended.memory();
    const bool is_at_source =
        memory && ended.holder()->address == memory->source;
    // An engine that loses connections is the last choice.
    if ((!memory || is_at_source) && resume_at_backup(ended))
        return;
    if (memory && conclusion_.reserve_repeat()) {
        conclusion_.record_attempt(name_of(ended.how()), "from_copy");
        resume_at(ended, *ended.holder(), *memory);
        return;
    }
    // Copied, since the call may destroy the exchange and this object.
    const auto lost = on_.lost;
    lost();
}

std::optional<upstream_record> generation_continuation::choose_destination(
    const upstream_record& source, const std::vector<std::string>& excluded)
{
    const auto now = context_.reactor->now();
    const auto to = context_.choice.for_move(
        served_.service, make_placement_request(source), excluded, now);
    if (!to)
        return std::nullopt;
    // Counted at once, so that the next move of a generation of this engine
    // accounts for the memory.
    context_.upstreams.expect_dispatch(to->record.id,
                                       served_.facts.prompt_tokens, now);
    return to->record;
}

bool generation_continuation::is_convicted() const
{
    return context_.poison.is_poison(served_.work, context_.reactor->now());
}

void generation_continuation::cancel()
{
    if (mover_)
        mover_->cancel();
    if (stop_)
        stop_->cancel();
}

} // namespace cyclamenrun
