#include "exchange.hpp"

#include "http_text.hpp"
#include "response_verdict.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Time to establish a connection, at most. Delays between failure domains are
 * about a millisecond; the rest is for busy peers. No byte has gone out, so
 * another upstream is tried while the objective can still be met.
 */
constexpr milliseconds longest_connect_time{250};
constexpr milliseconds shortest_connect_time{40};
/**
 * A stream that falls silent may go on when a cut heals; callers wait for 7 s
 * and more. Others are asked for again sooner.
 */
constexpr connection_patience stream_patience{milliseconds(10000),
                                              milliseconds(5000)};
/** Notice of a reclaim whose time is not told; the shortest is 1.5 s. */
constexpr milliseconds usual_notice{1500};
/** A step of an engine with a few requests takes 7 to 8 ms. */
constexpr milliseconds time_per_token{8};
/** Slowest usual output of a crowded engine, a token each 10 ms. */
constexpr milliseconds slow_time_per_token{10};

/** What is left when the budget of retries is spent. */
attempt_step step_without_budget(attempt_result result)
{
    switch (result) {
    case attempt_result::not_sent:
    case attempt_result::turned_away:
        return attempt_step::refuse;
    case attempt_result::failed:
        return attempt_step::deliver;
    case attempt_result::lost:
        return attempt_step::report_lost;
    }
    return attempt_step::report_lost;
}

milliseconds since(time_point began, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(now - began);
}

/** What decided for an upstream. */
std::vector<log_field> fields_of(const placed_upstream& placed)
{
    constexpr milliseconds never{-1};
    return {{log_key::upstream, placed.record.id},
            {log_key::weighed, placed.weighed},
            {log_key::cost, placed.cost},
            {log_key::second_cost, placed.second_cost.value_or(-1)},
            {log_key::wait_taken, placed.place.wait},
            {log_key::slots_taken, placed.place.slots_taken},
            {log_key::memory_taken, placed.place.memory_taken},
            {log_key::load_age_ms, placed.load_age.value_or(never)}};
}

} // namespace

exchange::exchange(gateway_context& context, caller_request request,
                   std::shared_ptr<answer_writer> writer)
    : context_(context), request_(std::move(request)),
      answer_(std::move(writer), request_.arrived), routes_(context.routes)
{
}

exchange::~exchange()
{
    context_.running.erase(this);
}

void exchange::start()
{
    self_ = shared_from_this();
    context_.running.insert(this);
    auto facts = context_.dialect->read_request(request_.head);
    if (!facts) {
        refuse(facts.error());
        return;
    }
    facts_ = std::move(*facts);
    const auto now = boot_now();
    configuration_age_ = context_.lease.age(now).value_or(milliseconds(0));
    const auto admitted =
        admit_request(routes_.get(), context_.lease.valid(now), facts_,
                      request_.head.target, request_.arrived);
    if (!admitted) {
        refuse(admitted.error());
        return;
    }
    admitted_ = *admitted;
    answer_.expect(*admitted_.route, facts_.last_event_id);
    note_admitted();
    // Started here it would be cut; another process can serve it whole.
    if (outlasts_this_process()) {
        refuse(gateway_refusal::stopping);
        return;
    }
    context_.reactor->post_at(admitted_.answer_by, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->expire();
    });
    dispatch();
}

void exchange::note_admitted()
{
    trace_.note(
        log_event_name::request_admitted,
        {{log_key::route, admitted_.route->name},
         {log_key::team, admitted_.team ? admitted_.team->name : ""},
         {log_key::revision, routes_->version()},
         {log_key::age_ms, configuration_age_},
         {log_key::deadline_ms, since(request_.arrived, admitted_.answer_by)},
         {log_key::tokens, facts_.prompt_tokens}});
}

// Where it runs.

const engine_traits* exchange::engine() const
{
    const auto* service = routes_->service(service_);
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

placement_request exchange::needs(const std::string& from_domain) const
{
    placement_request request;
    request.prompt_tokens = facts_.prompt_tokens;
    request.output_tokens = facts_.most_output_tokens / 2;
    request.objective = admitted_.route->objective;
    request.engine_tokens = engine() != nullptr ? engine()->memory_tokens : 0;
    request.from_domain = from_domain;
    return request;
}

bool exchange::outlasts_this_process() const
{
    const auto& route = *admitted_.route;
    const bool must_end_here =
        route.shape == answer_shape::event_stream && !route.resumable;
    const auto lasts = facts_.most_output_tokens * time_per_token / 2;
    return context_.stop_at && must_end_here &&
           context_.reactor->now() + lasts > *context_.stop_at;
}

void exchange::dispatch()
{
    // Time may have passed in a wait or a suspension since the last look.
    if (!context_.lease.valid(boot_now())) {
        refuse(runs_ > 0 ? gateway_refusal::upstream_lost
                         : gateway_refusal::no_configuration);
        return;
    }
    if (service_.empty()) {
        service_ = choose_service(*admitted_.route, context_.random);
        context_.budget.request(service_, context_.reactor->now());
    }
    const auto placed =
        context_.choice.for_request(service_, needs(context_.failure_domain),
                                    tried_, context_.reactor->now());
    if (placed && is_hopeless(*placed)) {
        trace_.note(log_event_name::attempt_placed, fields_of(*placed));
        // Half of its time is then left for what comes before it.
        const auto left =
            time_left(admitted_.answer_by, context_.reactor->now());
        refuse(gateway_refusal::overloaded,
               placed->first_part_after - left / 2);
        return;
    }
    if (placed) {
        trace_.note(log_event_name::attempt_placed, fields_of(*placed));
        send(placed->record, std::nullopt);
        return;
    }
    if (runs_ > 0)
        refuse(gateway_refusal::upstream_lost);
    else
        refuse(tried_.empty() ? gateway_refusal::no_upstream
                              : gateway_refusal::upstreams_busy);
}

bool exchange::is_hopeless(const placed_upstream& placed) const
{
    // It has run, or is going on: there is no better answer than its own.
    if (runs_ > 0 || answer_.begun())
        return false;
    return placed.first_part_after >
           time_left(admitted_.answer_by, context_.reactor->now());
}

void exchange::choose_backup(const upstream_record& upstream)
{
    backup_.reset();
    const bool repeatable = admitted_.route->resumable;
    if (!context_.backups.wanted(context_.reactor->now()) ||
        engine() == nullptr || !engine()->backups || repeatable ||
        admitted_.route->shape != answer_shape::event_stream)
        return;
    backup_ =
        context_.choice.for_backup(service_, needs(upstream.failure_domain),
                                   upstream.id, context_.reactor->now());
    if (!backup_)
        return;
    context_.metrics.count(exported_metric::backups, {service_});
    trace_.note(log_event_name::generation_backed_up,
                {{log_key::upstream, backup_->id}});
}

std::string exchange::request_for(const upstream_record& upstream,
                                  const std::optional<continuation>& goes_on)
{
    dispatch_facts facts;
    facts.time_left = time_left(admitted_.answer_by, context_.reactor->now());
    facts.upstream_id = upstream.id;
    if (admitted_.team != nullptr)
        facts.team = admitted_.team->name;
    facts.goes_on = goes_on;
    if (facts.goes_on || answer_.begun())
        facts.last_event_id = answer_.last_event_id();
    choose_backup(upstream);
    if (backup_)
        facts.backup = backup_->address;
    const auto head = context_.dialect->upstream_head(request_.head, facts);
    const bool has_body = !request_.body.empty() || request_.head.chunked ||
                          request_.head.find("Content-Length").has_value();
    return request_text(head,
                        has_body ? http_framing::length : http_framing::none,
                        request_.body.size()) +
           request_.body;
}

void exchange::send(const upstream_record& upstream,
                    const std::optional<continuation>& goes_on)
{
    upstream_attempt::request what;
    what.upstream = upstream;
    what.id = facts_.id;
    what.text = request_for(upstream, goes_on);
    // A kept connection may have gone silent, and a generation is worth far
    // more than the millisecond that a new one takes.
    what.new_connection = admitted_.route->shape == answer_shape::event_stream;
    if (what.new_connection)
        what.patience = stream_patience;
    what.has_no_response_body = request_.head.method == "HEAD";
    attempt_began_ = context_.reactor->now();
    what.connect_deadline = attempt_began_ + connect_time();
    tried_.push_back(upstream.id);
    goes_on_ = goes_on;
    answer_.next_response();
    ++sends_;
    // What goes on elsewhere is not read again.
    context_.board.dispatched(upstream.id, goes_on ? 0 : facts_.prompt_tokens,
                              attempt_began_);
    const auto self = shared_from_this();
    upstream_attempt::hooks on;
    on.head = [self](http_head&& head, const response_facts& facts) {
        self->take_head(std::move(head), facts);
    };
    on.body = [self](std::string_view bytes) { self->take_body(bytes); };
    on.complete = [self] { self->take_complete(); };
    on.lost = [self](attempt_loss loss) { self->take_lost(loss); };
    attempt_ = std::make_shared<upstream_attempt>(
        context_.reactor, context_.connections, *context_.dialect,
        std::move(what), std::move(on));
    attempt_->start();
    watch_for_silence();
}

milliseconds exchange::connect_time() const
{
    return std::clamp(admitted_.route->objective / 2, shortest_connect_time,
                      longest_connect_time);
}

void exchange::settle()
{
    if (attempt_)
        context_.board.settled(attempt_->upstream().id);
    attempt_.reset();
}

// What an attempt brings.

void exchange::take_head(http_head&& head, const response_facts& facts)
{
    context_.board.reached(attempt_->upstream().id);
    // What goes on elsewhere has been read before.
    if (!goes_on_)
        context_.answer_times.add(
            admitted_.route->name,
            since(attempt_began_, context_.reactor->now()));
    answer_.take_head(std::move(head), facts);
}

void exchange::take_body(std::string_view bytes)
{
    if (over_)
        return;
    const auto progress = answer_.take_body(bytes, context_.reactor->now());
    if (!progress) {
        cut(name_of(progress.error()));
        return;
    }
    if (!progress->passed_on)
        return;
    note_if_late(*progress);
    hold_back_if_slow();
    // A generation that had not begun when its engine was told to leave can
    // be moved from its first event on.
    const auto* state =
        attempt_ ? context_.board.find(attempt_->upstream().id) : nullptr;
    if (state != nullptr && state->leaving)
        upstream_leaving(state->record.id, state->leaves_at);
}

void exchange::note_if_late(const answer_relay::progress& progress)
{
    if (!progress.late_by_pause)
        return;
    trace_.note_late();
    trace_.note(log_event_name::answer_late,
                {{log_key::kind, progress.was_first ? "first" : "pause"},
                 {log_key::duration_ms, *progress.late_by_pause},
                 {log_key::upstream, tried_.back()},
                 {log_key::count, answer_.events()}});
}

void exchange::hold_back_if_slow()
{
    if (!attempt_ || !answer_.caller_is_slow())
        return;
    attempt_->pause_reading(true);
    answer_.on_drained([weak = std::weak_ptr(attempt_)] {
        if (const auto attempt = weak.lock())
            attempt->pause_reading(false);
    });
}

void exchange::take_complete()
{
    if (over_)
        return;
    const auto id = attempt_->upstream().id;
    settle();
    if (answer_.passing()) {
        context_.board.succeeded(id, context_.reactor->now());
        note_attempt("complete", "deliver");
        answer_.finish(context_.reactor->now());
        end(request_outcome::answered, answer_.status());
        return;
    }
    auto result = judge_response(answer_.status(), answer_.facts());
    if (!result && !answer_.begun()) {
        context_.board.succeeded(id, context_.reactor->now());
        note_attempt("complete", "deliver");
        deliver();
        return;
    }
    // A whole answer can't follow the first part of a stream.
    if (!result)
        result = attempt_result::failed;
    if (*result != attempt_result::turned_away)
        context_.board.failed(id, context_.reactor->now());
    end_attempt(*result);
}

void exchange::take_lost(attempt_loss loss)
{
    if (over_)
        return;
    const auto id = attempt_->upstream().id;
    settle();
    if (mover_ && mover_->source_ended()) {
        note_attempt("moving", "go_on");
        return;
    }
    if (loss == attempt_loss::not_sent)
        context_.board.unreached(id, context_.reactor->now());
    else
        context_.board.failed(id, context_.reactor->now());
    const auto* state = context_.board.find(id);
    if (answer_.begun() && state != nullptr && !state->leaving)
        context_.crash_seen(id);
    if (loss == attempt_loss::broken && go_on_at_backup())
        return;
    end_attempt(loss == attempt_loss::not_sent ? attempt_result::not_sent
                                               : attempt_result::lost);
}

void exchange::watch_for_silence()
{
    const auto& route = *admitted_.route;
    const auto limit =
        silence_limit(state_now(), route.objective,
                      context_.answer_times.usual_bound(route.name));
    if (!limit)
        return;
    context_.reactor->post_at(
        attempt_began_ + *limit,
        [weak = weak_from_this(), watched = std::weak_ptr(attempt_)] {
            const auto self = weak.lock();
            const auto attempt = watched.lock();
            if (self && attempt && attempt == self->attempt_)
                self->take_silence();
        });
}

bool exchange::is_silent() const
{
    return attempt_ && !attempt_->answering();
}

void exchange::take_silence()
{
    const auto now = context_.reactor->now();
    const auto id = attempt_->upstream().id;
    const auto* state = context_.board.find(id);
    // What waits in an engine's queue would lose its place.
    const bool queues =
        state != nullptr && state->load && state->load->queued > 0;
    const bool has_time =
        now + admitted_.route->objective < admitted_.answer_by;
    if (over_ || !is_silent() || queues || !has_time ||
        context_.budget.left(service_, now) < 1 ||
        !context_.choice.for_request(service_, needs(context_.failure_domain),
                                     tried_, now))
        return;
    context_.board.failed(id, now);
    attempt_->cancel();
    settle();
    end_attempt(attempt_result::lost);
}

attempt_state exchange::state_now() const
{
    const auto& route = *admitted_.route;
    attempt_state state;
    state.idempotent = route.idempotent || route.resumable;
    state.max_attempts = route.max_attempts;
    state.runs = runs_ + (goes_on_ ? 1 : 0);
    state.sends = sends_;
    state.time_is_up = context_.reactor->now() >= admitted_.answer_by;
    state.answer_begun = answer_.begun() && !route.resumable;
    return state;
}

attempt_step exchange::step_after(attempt_result result)
{
    const auto step = next_step(result, state_now());
    const auto now = context_.reactor->now();
    if (step != attempt_step::again || context_.budget.try_retry(service_, now))
        return step;
    return step_without_budget(result);
}

void exchange::note_attempt(std::string_view result, std::string_view next)
{
    const auto now = context_.reactor->now();
    context_.metrics.count(exported_metric::attempts,
                           {service_, std::string(result)});
    context_.metrics.observe(exported_metric::upstream_time, {service_},
                             since(attempt_began_, now));
    trace_.note(log_event_name::attempt_ended,
                {{log_key::upstream, tried_.back()},
                 {log_key::attempt, sends_},
                 {log_key::reason, result},
                 {log_key::status, answer_.status()},
                 {log_key::duration_ms, since(attempt_began_, now)},
                 {log_key::retries_left, context_.budget.left(service_, now)},
                 {log_key::next, next}});
}

void exchange::end_attempt(attempt_result result)
{
    if (goes_on_ && result == attempt_result::turned_away &&
        go_on_at_source()) {
        return;
    }
    if (result == attempt_result::failed || result == attempt_result::lost)
        ++runs_;
    const auto step = step_after(result);
    note_attempt(name_of(result), name_of(step));
    if (step == attempt_step::again || step == attempt_step::again_free) {
        dispatch();
    } else if (answer_.begun()) {
        cut("upstream_lost");
    } else if (step == attempt_step::deliver) {
        deliver();
    } else if (step == attempt_step::refuse && runs_ == 0) {
        refuse(gateway_refusal::upstreams_busy);
    } else {
        refuse(gateway_refusal::upstream_lost);
    }
}

// A generation that goes on elsewhere.

std::shared_ptr<generation_mover> exchange::make_mover()
{
    generation_mover::hooks on;
    on.memory_tokens = [this] { return memory_tokens(); };
    on.runs_at = [this](const upstream_record& source) {
        return attempt_ && attempt_->upstream().id == source.id;
    };
    on.destination =
        [this](
            const upstream_record& source,
            const std::string& refused_by) -> std::optional<upstream_record> {
        const auto to = context_.choice.for_move(
            service_, needs(source.failure_domain), {source.id, refused_by},
            context_.reactor->now());
        if (!to)
            return std::nullopt;
        // Counted at once, so that the next move of this engine's
        // generations sees the room as taken.
        context_.board.expect(to->record.id, facts_.prompt_tokens,
                              context_.reactor->now());
        return to->record;
    };
    on.drop_source = [this] {
        if (attempt_)
            attempt_->cancel();
        settle();
    };
    on.go_on = [this](const upstream_record& to, const continuation& from) {
        go_on_at(to, from);
    };
    on.lost = [this] {
        if (!go_on_at_backup())
            end_attempt(attempt_result::lost);
    };
    on.step = [this](move_step step, const upstream_record& engine) {
        trace_.note(
            log_event_name::generation_move_step,
            {{log_key::kind, name_of(step)}, {log_key::upstream, engine.id}});
    };
    on.tried = [this](const upstream_record& source, const upstream_record& to,
                      std::optional<move_failure> failure) {
        const auto result = failure ? name_of(*failure) : "moved";
        context_.metrics.count(exported_metric::moves,
                               {service_, std::string(result)});
        trace_.note(failure ? log_event_name::generation_move_failed
                            : log_event_name::generation_moved,
                    {{log_key::name, source.id},
                     {log_key::upstream, to.id},
                     {log_key::reason, result}});
    };
    return std::make_shared<generation_mover>(context_, facts_.id,
                                              std::move(on));
}

std::uint64_t exchange::memory_tokens() const
{
    const auto first = answer_.first_after();
    const auto running =
        first ? since(request_.arrived, context_.reactor->now()) - *first
              : milliseconds(0);
    const auto made = static_cast<std::uint64_t>(running / time_per_token);
    return facts_.prompt_tokens +
           std::min<std::uint64_t>(made, facts_.most_output_tokens);
}

void exchange::upstream_leaving(const std::string& upstream_id,
                                std::optional<time_point> leaves_at)
{
    const bool here = attempt_ && attempt_->upstream().id == upstream_id;
    // What has not begun can't be moved: its first event asks again.
    if (over_ || !here || !answer_.begun() || !worth_moving(leaves_at))
        return;
    if (!mover_)
        mover_ = make_mover();
    mover_->source_leaving(attempt_->upstream());
}

bool exchange::worth_moving(std::optional<time_point> leaves_at) const
{
    if (engine() == nullptr || !engine()->moves)
        return false;
    const auto notice = leaves_at
                            ? time_left(*leaves_at, context_.reactor->now())
                            : usual_notice;
    return facts_.most_output_tokens * slow_time_per_token > notice;
}

void exchange::go_on_at(const upstream_record& upstream,
                        const continuation& from)
{
    context_.budget.forced(service_, context_.reactor->now());
    send(upstream, from);
    const auto* state = context_.board.find(upstream.id);
    if (state != nullptr && state->leaving)
        upstream_leaving(upstream.id, state->leaves_at);
}

bool exchange::go_on_at_source()
{
    // The memory may still lie where the generation was stopped.
    const auto from = *goes_on_;
    for (const auto& id : tried_) {
        const auto* state = context_.board.find(id);
        if (id == tried_.back() || state == nullptr ||
            state->record.address != from.source)
            continue;
        const auto record = state->record;
        note_attempt("turned_away", "back_to_source");
        go_on_at(record, from);
        return true;
    }
    return false;
}

bool exchange::go_on_at_backup()
{
    const auto backup = std::exchange(backup_, std::nullopt);
    if (!backup || context_.reactor->now() >= admitted_.answer_by)
        return false;
    const auto* state = context_.board.find(backup->id);
    if (state == nullptr || state->record != *backup)
        return false;
    note_attempt("lost", "from_backup");
    context_.metrics.count(exported_metric::moves, {service_, "from_backup"});
    trace_.note(log_event_name::generation_continued,
                {{log_key::upstream, backup->id}});
    go_on_at(*backup, {backup->address, facts_.id});
    return true;
}

// How it ends.

void exchange::deliver()
{
    note_if_late(answer_.deliver(context_.reactor->now()));
    end(answer_.status() >= 500 ? request_outcome::upstream_error
                                : request_outcome::answered,
        answer_.status());
}

milliseconds exchange::retry_after(std::optional<milliseconds> room_in) const
{
    // A quarter of the objective leaves room for the second try within it;
    // where none is known, a time in which a short queue empties.
    constexpr milliseconds usual{200};
    constexpr milliseconds longest{1000};
    constexpr milliseconds longest_queue{5000};
    if (room_in)
        return spread_retry(std::clamp(*room_in, usual, longest_queue),
                            context_.random);
    if (admitted_.route == nullptr)
        return usual;
    return std::clamp(admitted_.route->objective / 4, milliseconds(20),
                      longest);
}

void exchange::refuse(gateway_refusal refusal,
                      std::optional<milliseconds> room_in)
{
    const auto& row = row_of(refusal);
    // An answer can't follow the first part of another one.
    if (answer_.begun()) {
        cut(row.name);
        return;
    }
    http_head head;
    head.status = row.status;
    head.fields.push_back({"Content-Type", "application/json"});
    if (row.status == 503) {
        const double seconds =
            std::chrono::duration<double>(retry_after(room_in)).count();
        head.fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    answer_.refuse(std::move(head),
                   "{\"error\":\"" + std::string(row.name) + "\"}");
    context_.metrics.count(exported_metric::refusals, {std::string(row.name)});
    end(request_outcome::refused, row.status, row.name);
}

void exchange::cut(std::string_view reason)
{
    answer_.abort();
    end(request_outcome::cut, answer_.status(), reason);
}

void exchange::expire()
{
    if (over_)
        return;
    // It may never answer: others that come should go elsewhere.
    if (is_silent())
        context_.board.failed(attempt_->upstream().id, context_.reactor->now());
    refuse(attempt_ || sends_ > 0 ? gateway_refusal::expired
                                  : gateway_refusal::expired_unsent);
}

void exchange::caller_left()
{
    if (over_)
        return;
    // It may have left because it got nothing in time.
    const bool late = admitted_.route != nullptr && !answer_.first_after() &&
                      since(request_.arrived, context_.reactor->now()) >
                          admitted_.route->objective;
    if (late)
        trace_.note_late();
    answer_.forget();
    end(request_outcome::caller_left, answer_.status());
}

std::vector<log_field> exchange::story(unsigned status,
                                       std::string_view reason) const
{
    constexpr milliseconds none{-1};
    const auto now = context_.reactor->now();
    return {{log_key::reason, reason},
            {log_key::status, status},
            {log_key::route, admitted_.route ? admitted_.route->name : ""},
            {log_key::service, service_},
            {log_key::team, admitted_.team ? admitted_.team->name : ""},
            {log_key::upstream, tried_.empty() ? "" : tried_.back()},
            {log_key::attempt, sends_},
            {log_key::revision, routes_ ? routes_->version() : 0},
            {log_key::age_ms, configuration_age_},
            {log_key::first_ms, answer_.first_after().value_or(none)},
            {log_key::longest_pause_ms, answer_.longest_pause()},
            {log_key::duration_ms, since(request_.arrived, now)},
            {log_key::count, answer_.events()}};
}

void exchange::measure(request_outcome outcome)
{
    const auto route = admitted_.route ? admitted_.route->name : "";
    auto& metrics = context_.metrics;
    metrics.count(exported_metric::requests,
                  {route, service_, std::string(row_of(outcome).name)});
    metrics.observe(exported_metric::answer_time, {route},
                    context_.reactor->now() - request_.arrived);
    if (!answer_.first_after())
        return;
    metrics.observe(exported_metric::first_part_time, {route},
                    *answer_.first_after());
    metrics.observe(exported_metric::longest_pause, {route},
                    answer_.longest_pause());
}

void exchange::end(request_outcome outcome, unsigned status,
                   std::string_view reason)
{
    const auto& row = row_of(outcome);
    trace_.end(facts_.id, row.severity, row.event, story(status, reason));
    measure(outcome);
    over_ = true;
    const auto self = std::exchange(self_, nullptr);
    context_.running.erase(this);
    if (attempt_)
        attempt_->cancel();
    settle();
    if (mover_)
        mover_->cancel();
}

} // namespace cyclamenrun
