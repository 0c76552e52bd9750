#include "configuration_store.hpp"

#include "message_reader.hpp"

namespace cyclamenrun
{

change_progress progress_of(const configuration_state& state,
                            const v1::ChangeRecord& change)
{
    const auto& resources = state.resources();
    return {state.revision(), state.find_change(change.change_id()),
            resources.find(change.kind(), change.name()), resources};
}

void configuration_store::on_change(change_hook hook)
{
    const std::lock_guard lock(mutex_);
    hooks_.push_back(std::move(hook));
}

configuration_store::view_pointer configuration_store::view() const
{
    const std::lock_guard lock(mutex_);
    return view_;
}

std::uint64_t configuration_store::revision() const
{
    const std::lock_guard lock(mutex_);
    return state_.revision();
}

bool configuration_store::apply(const std::vector<platform_log_record>& records)
{
    std::unique_lock lock(mutex_);
    const std::uint64_t before = state_.revision();
    bool complete = true;
    for (const auto& record : records) {
        if (record.offset < state_.revision())
            continue;
        if (record.offset > state_.revision()) {
            complete = false;
            break;
        }
        state_.apply(record.offset, record.data);
    }
    if (state_.revision() != before)
        publish(lock);
    return complete;
}

void configuration_store::set_ready()
{
    std::unique_lock lock(mutex_);
    if (ready_)
        return;
    ready_ = true;
    publish(lock);
}

bool configuration_store::restore(const v1::SnapshotRecord& snapshot)
{
    std::unique_lock lock(mutex_);
    if (!state_.restore(snapshot))
        return false;
    publish(lock);
    return true;
}

bool configuration_store::restore_from_peer(std::string_view bytes)
{
    v1::SnapshotRecord snapshot;
    if (!read_checked(bytes, snapshot))
        return false;
    std::unique_lock lock(mutex_);
    if (!state_.restore(snapshot))
        return false;
    ready_ = true;
    publish(lock);
    return true;
}

bool configuration_store::apply(const v1::ConfigurationDelta& delta)
{
    std::unique_lock lock(mutex_);
    if (!state_.apply(delta))
        return false;
    ready_ = true;
    publish(lock);
    return true;
}

std::string configuration_store::serialized_state() const
{
    const std::lock_guard lock(mutex_);
    return ready_ ? state_.snapshot().SerializeAsString() : std::string();
}

v1::SnapshotRecord configuration_store::snapshot() const
{
    const std::lock_guard lock(mutex_);
    return state_.snapshot();
}

v1::ConfigurationDelta
configuration_store::delta_after(std::uint64_t revision) const
{
    const std::lock_guard lock(mutex_);
    return state_.delta_after(revision);
}

std::optional<v1::ChangeOutcome>
configuration_store::find_change(const std::string& change_id) const
{
    const std::lock_guard lock(mutex_);
    return state_.find_change(change_id);
}

std::optional<v1::ClaimState>
configuration_store::claim(const std::string& upstream) const
{
    const std::lock_guard lock(mutex_);
    return state_.claim(upstream);
}

change_progress
configuration_store::progress(const v1::ChangeRecord& change) const
{
    const std::lock_guard lock(mutex_);
    return progress_of(state_, change);
}

std::uint64_t configuration_store::count(apply_result result) const
{
    const std::lock_guard lock(mutex_);
    return state_.count(result);
}

bool configuration_store::wait_past(std::uint64_t revision,
                                    time_point deadline) const
{
    std::unique_lock lock(mutex_);
    return advanced_.wait_until(lock, deadline, [this, revision] {
        return state_.revision() > revision;
    });
}

void configuration_store::publish(std::unique_lock<std::mutex>& lock)
{
    if (ready_)
        view_ = std::make_shared<const configuration_view>(
            configuration_view{state_.revision(), state_.resources()});
    const std::uint64_t revision = state_.revision();
    const auto hooks = hooks_;
    lock.unlock();
    advanced_.notify_all();
    for (const auto& hook : hooks)
        hook(revision);
}

} // namespace cyclamenrun
