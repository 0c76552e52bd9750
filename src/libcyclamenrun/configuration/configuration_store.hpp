#ifndef CYCLAMENRUN_CONFIGURATION_STORE_HPP
#define CYCLAMENRUN_CONFIGURATION_STORE_HPP

#include "clock.hpp"
#include "configuration_state.hpp"
#include "configuration_view.hpp"
#include "platform_log.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace cyclamenrun
{

/** What a change's submitter needs to know of the state, at one moment. */
struct change_progress {
    std::uint64_t revision = 0;
    std::optional<v1::ChangeOutcome> outcome;
    configuration_resources::resource_pointer current;
    configuration_resources resources;
};

change_progress progress_of(const configuration_state& state,
                            const v1::ChangeRecord& change);

/**
 * The configuration of one process, for all its threads. Requests take
 * view() and keep it; nobody holds the lock while they read.
 */
class configuration_store
{
public:
    using view_pointer = std::shared_ptr<const configuration_view>;
    using change_hook = std::function<void(std::uint64_t revision)>;

    /** Called after each advance, with no lock held; add before threads. */
    void on_change(change_hook hook);

    /** What is in force; null as long as the process has no state. */
    view_pointer view() const;
    bool ready() const { return view() != nullptr; }
    std::uint64_t revision() const;

    /**
     * Applies the records that are next; those already applied are passed
     * over. False: one is missing before the rest, which was left alone.
     */
    bool apply(const std::vector<log_entry>& records);

    /** The end of the log was reached, so that what is known is in force. */
    void set_ready();

    /**
     * Takes a newer whole state from the log. A fresh process is not ready by
     * that alone: what came after the snapshot is in force elsewhere.
     */
    bool restore(const v1::SnapshotRecord& snapshot);

    /** Takes what a peer has in force, as state() wrote it, if newer. */
    bool restore_from_peer(std::string_view bytes);

    /** Takes a delta of an entry, on an agent. */
    bool apply(const v1::ConfigurationDelta& delta);

    /** The whole state, for a peer; empty as long as not ready. */
    std::string state() const;
    v1::SnapshotRecord snapshot() const;
    v1::ConfigurationDelta delta_after(std::uint64_t revision) const;
    std::optional<v1::ChangeOutcome>
    find_change(const std::string& change_id) const;
    std::optional<v1::ClaimState> claim(const std::string& upstream) const;
    change_progress progress(const v1::ChangeRecord& change) const;
    std::uint64_t count(apply_result result) const;

    /** Waits until revision() is above `revision`; false at the deadline. */
    bool wait_past(std::uint64_t revision, time_point deadline) const;

private:
    void publish(std::unique_lock<std::mutex>& lock);

    mutable std::mutex mutex_;
    mutable std::condition_variable advanced_;
    configuration_state state_;
    view_pointer view_;
    bool ready_ = false;
    std::vector<change_hook> hooks_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_STORE_HPP
