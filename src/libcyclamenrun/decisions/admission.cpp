#include "admission.hpp"

#include "memory_projection.hpp"

#include <algorithm>
#include <limits>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_curves = 1024;

// Usable share of the engine's memory. The rest is lost because the engine
// rounds each answer up to whole blocks.
constexpr double usable_memory = 0.99;

// Cost of a prompt token relative to an output token: prefill processes many
// tokens at once and is far cheaper than decoding them one by one.
constexpr double prompt_token_cost = 0.25;

// A team may queue at most this many times the free room of the queue. A
// single team thus gets two thirds of the queue, and a team that arrives
// later always finds room.
constexpr double room_factor = 2.0;

// Assumed run time of a work item, used until the drain rate is measured.
constexpr double typical_run_s = 20.0;

// A work item that waits for more than 1 / this of the time to its deadline
// is not expected to complete in time.
constexpr int wait_share_of_deadline = 2;

constexpr milliseconds least_retry_after{100};
// Upper bound of retry_after. It exceeds the time that any caller waits, so
// that a caller that could not be served learns so at once.
constexpr milliseconds longest_promise{600'000};

// A suspect that has waited this long blocks other starts, so that the
// upstream becomes idle and the suspect can run alone.
constexpr milliseconds suspect_patience{10'000};

// Weight of a new report in the smoothed excess.
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
    return std::max(settings_.max_running, 1U) / typical_run_s;
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
    team_queue& queue = queue_of(work);
    if (auto refused = check_room(work, queue, now))
        return tl::unexpected(std::move(*refused));

    queue.drain.advance(now, !queue.waiting.empty());
    if (queue.works++ == 0)
        queue.account = &shares_.open(work.team, work.team_weight);
    queue.expected_tokens = expected_tokens(work);
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
    if (!work.sized || !settings_.parts.prediction)
        return 0.0;
    return static_cast<double>(
        lengths_.curve(work.service, work.team)
            .expected_remaining(0, work.max_output_tokens));
}

void admission::join(team_queue& queue, work_id id)
{
    if (queue.waiting.empty()) {
        shares_.lift(*queue.account, least_waiting_counter());
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
        usable_memory * static_cast<double>(settings_.memory_tokens);
    if (work.sized && work.prompt_tokens >= usable)
        return not_run(refusal_reason::too_large, "prompt exceeds the memory");
    return std::nullopt;
}

std::optional<refusal> admission::check_room(const waiting_work& work,
                                             team_queue& queue, time_point now)
{
    if (queued_ >= settings_.max_queued)
        return full(queue, now, "requests");
    if (queued_prompt_tokens_ + work.prompt_tokens >
        settings_.max_queued_prompt_tokens)
        return full(queue, now, "prompt tokens");
    if (over_share(work, queue))
        return full(queue, now, "requests of this team");
    if (queue.waiting.empty())
        return std::nullopt;
    queue.drain.advance(now, true);
    const milliseconds wait =
        queue.drain.time_for(static_cast<double>(queue.waiting.size()) + 1.0);
    const milliseconds bound =
        std::min(settings_.max_wait,
                 time_left(work.deadline, now) / wait_share_of_deadline);
    if (wait > bound)
        return full(queue, now, "expected wait");
    return std::nullopt;
}

bool admission::over_share(const waiting_work& work,
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

refusal admission::full(team_queue& queue, time_point now, const char* which)
{
    // Each refused caller gets its own return time: with one time for all,
    // the callers would come back together and be refused again.
    queue.promised = std::max(queue.promised, now) + queue.drain.time_for(1.0);
    queue.promised = std::min(queue.promised, now + longest_promise);
    const milliseconds after = time_left(queue.promised, now);
    return not_run(refusal_reason::queue_full, which,
                   std::max(after, least_retry_after));
}

admission::team_queue& admission::queue_of(const waiting_work& work)
{
    static const std::string everyone;
    const std::string& key = settings_.parts.fair_share ? work.team : everyone;
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
                  [](const auto& item) { return item.second.works == 0; });
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
    memory_projection ahead = project();
    while (record* next = next_waiting(now)) {
        if (!may_start(*next, ahead))
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
                           settings_.short_first * queue->expected_tokens;
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
        if (!queue || now - suspect.queued_at > suspect_patience)
            return &suspect;
    }
    return queue ? &records_.at(queue->waiting.front()) : nullptr;
}

bool admission::may_start(const record& next, memory_projection& ahead)
{
    if (running_ >= settings_.max_running)
        return false;
    if (suspect_holds(next))
        return false;
    if (!next.work.sized)
        return true;
    if (prefill_tokens_ > 0 && prefill_tokens_ + uncached_tokens(next.work) >
                                   settings_.max_prefill_tokens)
        return false;
    return fits_memory(next, ahead);
}

bool admission::suspect_holds(const record& next) const
{
    return running_suspects_ > 0 || (next.work.suspect && running_ > 0);
}

bool admission::fits_memory(const record& next, memory_projection& ahead)
{
    double shared = static_cast<double>(prefixes_.size());
    double fresh_blocks = 0.0;
    if (settings_.parts.prefix)
        fresh_blocks =
            static_cast<double>(prefixes_.missing(next.work.prefix_blocks));
    shared = (shared + fresh_blocks) * settings_.block_tokens;
    const double memory =
        usable_memory * static_cast<double>(settings_.memory_tokens) -
        taken_outside() - shared;

    memory_projection with_next = ahead;
    add_to(with_next, next);
    const double bound =
        settings_.parts.prediction ? settings_.overflow_bound : 0.5;
    // A work item that runs alone is exempt, or it could never start.
    if (running_ > 0 && with_next.overflow_risk(memory) > bound)
        return false;
    ahead = with_next;
    return true;
}

double admission::taken_outside() const
{
    return static_cast<double>(foreign_tokens_) + reported_excess_;
}

memory_projection admission::project()
{
    memory_projection ahead;
    for (const record* running : running_records_)
        add_to(ahead, *running);
    return ahead;
}

void admission::add_to(memory_projection& ahead, const record& of)
{
    if (!of.work.sized)
        return;
    const memory_projection::answer answer{private_tokens(of), of.made,
                                           of.work.max_output_tokens};
    if (!settings_.parts.prediction) {
        ahead.add_known(answer, 0);
        return;
    }
    if (settings_.known_length) {
        if (const auto length = settings_.known_length(of.work.id)) {
            ahead.add_known(answer, *length);
            return;
        }
    }
    ahead.add(answer, lengths_.curve(of.work.service, of.work.team));
}

void admission::start(record& next, time_point now)
{
    unqueue(next, now);
    next.queue->drain.left();
    drain_.left();
    shares_.served(*next.queue->account);
    next.started = true;
    running_records_.push_back(&next);
    ++running_;
    running_suspects_ += next.work.suspect ? 1 : 0;
    if (!next.work.sized) {
        shares_.charge(*next.queue->account, 1.0);
        return;
    }
    shares_.charge(*next.queue->account,
                   prompt_token_cost * next.work.prompt_tokens);
    next.prefill_tokens = uncached_tokens(next.work);
    prefill_tokens_ += next.prefill_tokens;
    cache_.used(next.work.prefix_blocks);
    private_tokens_ += private_tokens(next);
    if (settings_.parts.prefix)
        prefixes_.acquire(next.work.prefix_blocks);
}

std::uint64_t admission::uncached_tokens(const waiting_work& work) const
{
    if (!settings_.parts.prefix)
        return work.prompt_tokens;
    return work.prompt_tokens -
           cache_.held(work.prefix_blocks) * settings_.block_tokens;
}

std::uint64_t admission::private_tokens(const record& of) const
{
    const std::uint64_t prompt = of.work.prompt_tokens;
    if (!settings_.parts.prefix)
        return prompt + of.made;
    return prompt + of.made -
           of.work.prefix_blocks.size() * settings_.block_tokens;
}

void admission::tokens_made(work_id id, std::uint32_t count, time_point)
{
    const auto found = records_.find(id);
    if (found == records_.end() || !found->second.started || count == 0)
        return;
    record& of = found->second;
    if (of.made == 0 && of.work.sized)
        prefill_tokens_ -= of.prefill_tokens;
    of.made += count;
    private_tokens_ += of.work.sized ? count : 0;
    shares_.charge(*of.queue->account, count);
}

void admission::finished(work_id id, bool complete, time_point now)
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

void admission::drop(record& of, bool complete, time_point now)
{
    advance(now);
    if (of.started) {
        stop(of);
        if (of.work.sized)
            lengths_.learn(of.work.service, of.work.team, of.made, complete);
    } else {
        unqueue(of, now);
    }
    team_queue& queue = *of.queue;
    if (--queue.works == 0) {
        shares_.close(*queue.account);
        queue.account = nullptr;
    }
    records_.erase(of.work.id);
}

void admission::unqueue(record& of, time_point now)
{
    of.queue->drain.advance(now, true);
    if (of.work.suspect) {
        std::erase(suspects_, of.work.id);
    } else {
        std::erase(of.queue->waiting, of.work.id);
        if (of.queue->waiting.empty())
            std::erase(waiting_queues_, of.queue);
    }
    of.queue->prompt_tokens -= of.work.prompt_tokens;
    deadlines_.erase({of.work.deadline, of.work.id});
    --queued_;
    queued_prompt_tokens_ -= of.work.prompt_tokens;
}

void admission::stop(record& of)
{
    const auto found =
        std::find(running_records_.begin(), running_records_.end(), &of);
    *found = running_records_.back();
    running_records_.pop_back();
    --running_;
    running_suspects_ -= of.work.suspect ? 1 : 0;
    if (!of.work.sized)
        return;
    if (of.made == 0)
        prefill_tokens_ -= of.prefill_tokens;
    private_tokens_ -= private_tokens(of);
    if (settings_.parts.prefix)
        prefixes_.release(of.work.prefix_blocks);
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

void admission::pursue(objective goal)
{
    const auto tuned = default_admission(goal);
    settings_.goal = goal;
    settings_.overflow_bound = tuned.overflow_bound;
    settings_.short_first = tuned.short_first;
}

int admission::priority(work_id id) const
{
    const auto found = records_.find(id);
    return found != records_.end() && found->second.work.suspect ? -1 : 0;
}

void admission::foreign_memory(std::uint64_t tokens)
{
    foreign_tokens_ = tokens;
}

void admission::engine_load(const engine_load_hint& hint, time_point)
{
    const auto own = static_cast<double>(
        private_tokens_ + prefixes_.size() * settings_.block_tokens +
        foreign_tokens_);
    const double excess = static_cast<double>(hint.memory_tokens_used) - own;
    if (!settings_.parts.own_counts) {
        reported_excess_ = excess;
        return;
    }
    // A report lags: work items in it may have ended, which shows as an excess
    // that the next report clears. Smoothing keeps only a lasting excess.
    reported_excess_ +=
        report_gain * (std::max(excess, 0.0) - reported_excess_);
}

std::uint64_t admission::memory_used() const
{
    const std::uint64_t counted = private_tokens_ +
                                  prefixes_.size() * settings_.block_tokens +
                                  foreign_tokens_;
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
