#include "admission.hpp"

#include "memory_projection.hpp"

#include <algorithm>
#include <limits>

namespace cyclamenrun
{

namespace
{

// Bound on the curves of answer lengths: each service has one, and so has each
// team of a service.
constexpr std::size_t max_curves = 1024;

// Usable share of the engine's memory. The rest is lost because the engine
// rounds each answer up to whole blocks.
constexpr double usable_memory_share = 0.99;

// Cost of a prompt token relative to an output token: prefill processes many
// tokens at once and is far cheaper than decoding them one by one.
constexpr double prompt_token_cost = 0.25;

// A team may queue at most this many times the free room of the queue. A
// single team thus gets two thirds of the queue, and a team that arrives
// later always finds room.
constexpr double room_factor = 2.0;

// Assumed run time of a work item, used until the drain rate is measured.
constexpr double assumed_run_s = 20.0;

// A work item is refused if its expected wait exceeds the time to its deadline
// divided by this, since it would not complete in time.
constexpr int deadline_wait_divisor = 2;

constexpr milliseconds min_retry_after{100};
// Upper bound of retry_after. It exceeds the time that any caller waits, so a
// caller for whom a retry would be in vain need not try.
constexpr milliseconds max_retry_after{600'000};

// A suspect that has waited this long blocks other starts, so that the
// upstream becomes idle and the suspect can run alone.
constexpr milliseconds max_suspect_wait{10'000};

// Weight of a new report in the smoothed excess of the reported memory over the
// counted memory.
constexpr double report_gain = 0.2;

} // namespace

admission::admission(admission_settings settings)
    : settings_(std::move(settings)), lengths_(max_curves),
      shares_(settings_.max_teams),
      cache_(settings_.memory_tokens / settings_.block_tokens),
      drain_(initial_rate())
{
}

double admission::initial_rate() const
{
    return std::max(settings_.max_running, 1U) / assumed_run_s;
}

outcome<void> admission::enqueue(waiting_work work, time_point now)
{
    advance(now);
    const std::size_t whole_blocks =
        work.prompt_tokens / settings_.block_tokens;
    if (work.prefix_blocks.size() > whole_blocks)
        work.prefix_blocks.resize(whole_blocks);
    if (auto refused = check(work, now))
        return tl::unexpected(std::move(*refused));
    team_queue& queue = queue_for(work);
    if (auto refused = check_room(work, queue, now))
        return tl::unexpected(std::move(*refused));

    queue.drain.advance(now, !queue.waiting.empty());
    if (queue.work_items++ == 0)
        queue.account = &shares_.open(work.team, work.team_weight);
    queue.last_expected_tokens = expected_tokens(work);
    if (work.suspect)
        suspects_.push_back(work.id);
    else
        join(queue, work.id);
    queue.prompt_tokens += work.prompt_tokens;
    deadlines_.emplace(work.deadline, work.id);
    ++queued_;
    queued_prompt_tokens_ += work.prompt_tokens;
    const work_id id = work.id;
    records_.emplace(id, record{std::move(work), &queue, now});
    return {};
}

double admission::least_waiting_counter() const
{
    double least = std::numeric_limits<double>::max();
    for (const team_queue* queue : waiting_queues_)
        least = std::min(least, queue->account->counter);
    return least;
}

double admission::expected_tokens(const waiting_work& work)
{
    if (!work.uses_memory || !settings_.parts.prediction)
        return 0.0;
    return static_cast<double>(
        lengths_.curve(work.service, work.team)
            .expected_remaining(0, work.max_output_tokens));
}

void admission::join(team_queue& queue, work_id id)
{
    if (queue.waiting.empty()) {
        shares_.raise_to_virtual_time(*queue.account, least_waiting_counter());
        waiting_queues_.push_back(&queue);
    }
    queue.waiting.push_back(id);
}

std::optional<refusal> admission::check(const waiting_work& work,
                                        time_point now)
{
    if (records_.contains(work.id))
        return not_run(refusal_reason::duplicate_request);
    if (work.deadline <= now)
        return not_run(refusal_reason::deadline_passed);
    const double usable =
        usable_memory_share * static_cast<double>(settings_.memory_tokens);
    if (work.uses_memory && work.prompt_tokens >= usable)
        return not_run(refusal_reason::too_large, "prompt exceeds the memory");
    return std::nullopt;
}

std::optional<refusal> admission::check_room(const waiting_work& work,
                                             team_queue& queue, time_point now)
{
    if (queued_ >= settings_.max_queued)
        return refuse_full(queue, now, "requests");
    if (queued_prompt_tokens_ + work.prompt_tokens >
        settings_.max_queued_prompt_tokens)
        return refuse_full(queue, now, "prompt tokens");
    if (exceeds_queue_share(work, queue))
        return refuse_full(queue, now, "requests of this team");
    if (queue.waiting.empty())
        return std::nullopt;
    queue.drain.advance(now, true);
    const milliseconds wait =
        queue.drain.time_for(static_cast<double>(queue.waiting.size()) + 1.0);
    const milliseconds bound =
        std::min(settings_.max_wait,
                 time_left(work.deadline, now) / deadline_wait_divisor);
    if (wait > bound)
        return refuse_full(queue, now, "expected wait");
    return std::nullopt;
}

bool admission::exceeds_queue_share(const waiting_work& work,
                                    const team_queue& queue) const
{
    if (!settings_.parts.fair_share)
        return false;
    const double room = settings_.max_queued - queued_;
    const double token_room = static_cast<double>(
        settings_.max_queued_prompt_tokens - queued_prompt_tokens_);
    const auto waiting = static_cast<double>(queue.waiting.size());
    const auto tokens =
        static_cast<double>(queue.prompt_tokens + work.prompt_tokens);
    return waiting >= room_factor * room || tokens > room_factor * token_room;
}

refusal admission::refuse_full(team_queue& queue, time_point now,
                               const char* resource)
{
    // Each refused caller gets a different time: with one time for all, the
    // callers would retry together and be refused again.
    queue.last_retry_at =
        std::max(queue.last_retry_at, now) + queue.drain.time_for(1.0);
    queue.last_retry_at = std::min(queue.last_retry_at, now + max_retry_after);
    const milliseconds after = time_left(queue.last_retry_at, now);
    return not_run(refusal_reason::queue_full, resource,
                   std::max(after, min_retry_after));
}

admission::team_queue& admission::queue_for(const waiting_work& work)
{
    static const std::string all_teams;
    const std::string& key = settings_.parts.fair_share ? work.team : all_teams;
    const auto found = queues_.find(key);
    if (found != queues_.end())
        return found->second;
    if (queues_.size() >= settings_.max_teams)
        drop_idle_queues();
    const double share =
        drain_.per_second() / static_cast<double>(queues_.size() + 1);
    return queues_.try_emplace(key, share).first->second;
}

void admission::drop_idle_queues()
{
    std::erase_if(queues_,
                  [](const auto& item) { return item.second.work_items == 0; });
}

void admission::advance(time_point now)
{
    drain_.advance(now, queued_ > 0);
}

std::vector<work_id> admission::admit(time_point now)
{
    advance(now);
    std::vector<work_id> started;
    if (queued_ == 0)
        return started;
    memory_projection projection = project_memory();
    while (record* next = next_waiting(now)) {
        if (!may_start(*next, projection))
            break;
        start(*next, now);
        started.push_back(next->work.id);
    }
    return started;
}

admission::team_queue* admission::next_queue()
{
    team_queue* best = nullptr;
    double least = std::numeric_limits<double>::max();
    for (team_queue* queue : waiting_queues_) {
        const double key = queue->account->counter +
                           settings_.short_first * queue->last_expected_tokens;
        if (key >= least)
            continue;
        least = key;
        best = queue;
    }
    return best;
}

admission::record* admission::next_waiting(time_point now)
{
    team_queue* queue = next_queue();
    if (!suspects_.empty()) {
        record& suspect = records_.at(suspects_.front());
        if (!queue || now - suspect.queued_at > max_suspect_wait)
            return &suspect;
    }
    return queue ? &records_.at(queue->waiting.front()) : nullptr;
}

bool admission::may_start(const record& next, memory_projection& projection)
{
    if (running_ >= settings_.max_running)
        return false;
    if (blocked_by_suspect(next))
        return false;
    if (!next.work.uses_memory)
        return true;
    if (prefill_tokens_ > 0 && prefill_tokens_ + uncached_tokens(next.work) >
                                   settings_.max_prefill_tokens)
        return false;
    return fits_memory(next, projection);
}

bool admission::blocked_by_suspect(const record& next) const
{
    return running_suspects_ > 0 || (next.work.suspect && running_ > 0);
}

bool admission::fits_memory(const record& next, memory_projection& projection)
{
    double shared = static_cast<double>(prefixes_.size());
    double new_blocks = 0.0;
    if (settings_.parts.prefix)
        new_blocks =
            static_cast<double>(prefixes_.missing(next.work.prefix_blocks));
    shared = (shared + new_blocks) * settings_.block_tokens;
    const double memory =
        usable_memory_share * static_cast<double>(settings_.memory_tokens) -
        untracked_tokens() - shared;

    memory_projection with_next = projection;
    add_to(with_next, next);
    // Without prediction the memory is known, so the risk is nearly 0 or 1.
    const double bound =
        settings_.parts.prediction ? settings_.overflow_bound : 0.5;
    // A work item that would run alone is exempt, or it could never start.
    if (running_ > 0 && with_next.overflow_risk(memory) > bound)
        return false;
    projection = with_next;
    return true;
}

double admission::untracked_tokens() const
{
    return static_cast<double>(external_tokens_) + reported_excess_;
}

memory_projection admission::project_memory()
{
    memory_projection projection;
    for (const record* running : running_records_)
        add_to(projection, *running);
    return projection;
}

void admission::add_to(memory_projection& projection, const record& item)
{
    if (!item.work.uses_memory)
        return;
    const memory_projection::answer answer{
        private_tokens(item), item.output_tokens, item.work.max_output_tokens};
    if (!settings_.parts.prediction) {
        projection.add_known(answer, 0);
        return;
    }
    if (settings_.known_length) {
        if (const auto length = settings_.known_length(item.work.id)) {
            projection.add_known(answer, *length);
            return;
        }
    }
    projection.add(answer, lengths_.curve(item.work.service, item.work.team));
}

void admission::start(record& next, time_point now)
{
    unqueue(next, now);
    next.queue->drain.record_departure();
    drain_.record_departure();
    shares_.record_served(*next.queue->account);
    next.started = true;
    running_records_.push_back(&next);
    ++running_;
    running_suspects_ += next.work.suspect ? 1 : 0;
    if (!next.work.uses_memory) {
        shares_.charge(*next.queue->account, 1.0);
        return;
    }
    shares_.charge(*next.queue->account,
                   prompt_token_cost * next.work.prompt_tokens);
    next.prefill_tokens = uncached_tokens(next.work);
    prefill_tokens_ += next.prefill_tokens;
    cache_.record_use(next.work.prefix_blocks);
    private_tokens_ += private_tokens(next);
    if (settings_.parts.prefix)
        prefixes_.acquire(next.work.prefix_blocks);
}

std::uint64_t admission::uncached_tokens(const waiting_work& work) const
{
    if (!settings_.parts.prefix)
        return work.prompt_tokens;
    return work.prompt_tokens -
           cache_.count_cached(work.prefix_blocks) * settings_.block_tokens;
}

std::uint64_t admission::private_tokens(const record& item) const
{
    const std::uint64_t prompt = item.work.prompt_tokens;
    if (!settings_.parts.prefix)
        return prompt + item.output_tokens;
    return prompt + item.output_tokens -
           item.work.prefix_blocks.size() * settings_.block_tokens;
}

void admission::record_output_tokens(work_id id, std::uint32_t count,
                                     time_point)
{
    const auto found = records_.find(id);
    if (found == records_.end() || !found->second.started || count == 0)
        return;
    record& item = found->second;
    if (item.output_tokens == 0 && item.work.uses_memory)
        prefill_tokens_ -= item.prefill_tokens;
    item.output_tokens += count;
    private_tokens_ += item.work.uses_memory ? count : 0;
    shares_.charge(*item.queue->account, count);
}

void admission::record_end(work_id id, bool complete, time_point now)
{
    const auto found = records_.find(id);
    if (found != records_.end())
        drop(found->second, complete, now);
}

bool admission::remove(work_id id, time_point now)
{
    const auto found = records_.find(id);
    if (found == records_.end())
        return false;
    drop(found->second, false, now);
    return true;
}

void admission::drop(record& item, bool complete, time_point now)
{
    advance(now);
    if (item.started) {
        stop(item);
        if (item.work.uses_memory)
            lengths_.learn(item.work.service, item.work.team,
                           item.output_tokens, complete);
    } else {
        unqueue(item, now);
    }
    team_queue& queue = *item.queue;
    if (--queue.work_items == 0) {
        shares_.close(*queue.account);
        queue.account = nullptr;
    }
    records_.erase(item.work.id);
}

void admission::unqueue(record& item, time_point now)
{
    item.queue->drain.advance(now, true);
    if (item.work.suspect) {
        std::erase(suspects_, item.work.id);
    } else {
        std::erase(item.queue->waiting, item.work.id);
        if (item.queue->waiting.empty())
            std::erase(waiting_queues_, item.queue);
    }
    item.queue->prompt_tokens -= item.work.prompt_tokens;
    deadlines_.erase({item.work.deadline, item.work.id});
    --queued_;
    queued_prompt_tokens_ -= item.work.prompt_tokens;
}

void admission::stop(record& item)
{
    const auto found =
        std::find(running_records_.begin(), running_records_.end(), &item);
    *found = running_records_.back();
    running_records_.pop_back();
    --running_;
    running_suspects_ -= item.work.suspect ? 1 : 0;
    if (!item.work.uses_memory)
        return;
    if (item.output_tokens == 0)
        prefill_tokens_ -= item.prefill_tokens;
    private_tokens_ -= private_tokens(item);
    if (settings_.parts.prefix)
        prefixes_.release(item.work.prefix_blocks);
}

std::vector<work_id> admission::expired(time_point now)
{
    std::vector<work_id> ids;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        ids.push_back(deadlines_.begin()->second);
        remove(ids.back(), now);
    }
    return ids;
}

void admission::apply_objective(objective goal)
{
    const auto defaults = default_admission(goal);
    settings_.goal = goal;
    settings_.overflow_bound = defaults.overflow_bound;
    settings_.short_first = defaults.short_first;
}

int admission::priority(work_id id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && found->second.work.suspect ? -1 : 0;
}

void admission::set_external_memory(std::uint64_t tokens)
{
    external_tokens_ = tokens;
}

void admission::update_engine_load(const engine_load_hint& hint, time_point)
{
    const auto own_count = static_cast<double>(
        private_tokens_ + prefixes_.size() * settings_.block_tokens +
        external_tokens_);
    const double excess =
        static_cast<double>(hint.memory_tokens_used) - own_count;
    if (!settings_.parts.own_counts) {
        reported_excess_ = excess;
        return;
    }
    // Reports lag: work items in one may have ended, which shows as an excess
    // that the next report no longer has. Smoothing keeps a lasting excess.
    reported_excess_ +=
        report_gain * (std::max(excess, 0.0) - reported_excess_);
}

std::uint64_t admission::memory_used() const
{
    const std::uint64_t counted = private_tokens_ +
                                  prefixes_.size() * settings_.block_tokens +
                                  external_tokens_;
    const double corrected = static_cast<double>(counted) + reported_excess_;
    return static_cast<std::uint64_t>(std::max(corrected, 0.0));
}

milliseconds admission::expected_wait(time_point) const
{
    if (queued_ == 0)
        return milliseconds(0);
    return drain_.time_for(1.0);
}

time_point admission::next_event() const
{
    return deadlines_.empty() ? time_point::max() : deadlines_.begin()->first;
}

} // namespace cyclamenrun
