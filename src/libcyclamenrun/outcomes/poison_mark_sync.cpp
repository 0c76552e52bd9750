#include "poison_mark_sync.hpp"

#include "digest.hpp"

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_reported_losses = 4096;
/** Time in which other entries hear of a claim through agents. */
constexpr milliseconds news_time{200};

} // namespace

poison_mark_sync::poison_mark_sync(std::size_t capacity, duration mark_lifetime)
    : marks_(capacity, mark_lifetime)
{
}

poison_admission poison_mark_sync::admit(const suspected_work& work,
                                         solo_run& claim, time_point now)
{
    const std::scoped_lock lock(mutex_);
    return admit_send(marks_, work, claim, {random_u64() | 1, news_time}, now);
}

void poison_mark_sync::end_solo(solo_run& claim)
{
    const std::scoped_lock lock(mutex_);
    cyclamenrun::end_solo(marks_, claim);
}

std::optional<poison_grounds>
poison_mark_sync::grounds(const suspected_work& work, time_point now) const
{
    const std::scoped_lock lock(mutex_);
    return marks_.grounds(work, now);
}

void poison_mark_sync::agent_lost(lost_run run, const route_target& agent,
                                  time_point now)
{
    const std::scoped_lock lock(mutex_);
    // Derived from the agent's incarnation, so that all entries that lose the
    // agent report the same loss.
    run.loss = hash64(agent.upstream, agent.incarnation);
    marks_.record_loss(run, now);
    if (reported_losses_.size() < max_reported_losses)
        reported_losses_.insert(run.loss);
}

void poison_mark_sync::engine_lost(const lost_run& run, time_point now)
{
    const std::scoped_lock lock(mutex_);
    marks_.record_loss(run, now);
}

std::uint64_t poison_mark_sync::version() const
{
    const std::scoped_lock lock(mutex_);
    return marks_.version();
}

void poison_mark_sync::write_marks(const std::string& upstream,
                                   link::Heartbeat& heartbeat, time_point now)
{
    const std::scoped_lock lock(mutex_);
    auto& known = peers_[upstream];
    known.sent_version = marks_.version();
    heartbeat.set_marks_seen(known.received_version);
    for (auto& mark : marks_.marks_since(known.merged_version, now))
        *heartbeat.add_marks() = std::move(mark);
}

void poison_mark_sync::read_marks(const std::string& upstream,
                                  const link::HeartbeatReply& reply,
                                  time_point now)
{
    const std::scoped_lock lock(mutex_);
    auto& known = peers_[upstream];
    // A new incarnation of the agent has none of the marks sent to the old one.
    const bool same_incarnation =
        known.incarnation == reply.load().incarnation();
    known.incarnation = reply.load().incarnation();
    known.merged_version = same_incarnation ? known.sent_version : 0;
    known.received_version = reply.marks_version();
    const auto loss = hash64(upstream, known.incarnation);
    if (reported_losses_.erase(loss) > 0)
        marks_.clear_loss(loss, now);
    for (const auto& mark : reply.marks())
        marks_.merge(mark, now);
}

std::size_t poison_mark_sync::size() const
{
    const std::scoped_lock lock(mutex_);
    return marks_.size();
}

} // namespace cyclamenrun
