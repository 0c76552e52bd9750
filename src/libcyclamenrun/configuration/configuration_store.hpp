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

/** The parts of the state that a change_submitter needs, read atomically. */
struct change_progress {
    std::uint64_t revision = 0;
    std::optional<v1::ChangeOutcome> outcome; ///< of the change, if applied
    /** The resource to change, or its tombstone. */
    configuration_resources::resource_pointer current;
    configuration_resources resources;
};

/** Returns the progress of the change as of the state's revision. */
change_progress progress_of(const configuration_state& state,
                            const v1::ChangeRecord& change);

/**
 * The configuration of one process, shared by all its threads. A request gets
 * the immutable view() once and keeps it, so that no lock is held while the
 * request reads the configuration.
 */
class configuration_store
{
public:
    using view_pointer = std::shared_ptr<const configuration_view>;
    using change_hook = std::function<void(std::uint64_t revision)>;

    /**
     * Adds a function that is called after each increase of the revision and
     * when the store becomes ready, without a lock held. Must be called before
     * other threads use the store.
     */
    void on_change(change_hook hook);

    /** Returns the view in force; null while the store is not ready. */
    view_pointer view() const;
    bool ready() const { return view() != nullptr; }
    std::uint64_t revision() const;

    /**
     * Applies the records in order and skips those already applied. Returns
     * false if a record is missing; the records after it are not applied.
     */
    bool apply(const std::vector<platform_log_record>& records);

    /**
     * Marks the store as ready and publishes its view. Called when the end of
     * the log has been reached.
     */
    void set_ready();

    /**
     * Replaces the state with a newer snapshot from the log; returns false if
     * the snapshot is not newer. Does not make a new process ready, since
     * changes after the snapshot may be in force at other processes.
     */
    bool restore(const v1::SnapshotRecord& snapshot);

    /**
     * Replaces the state with that of a peer, as returned by the peer's
     * serialized_state(), and makes the store ready. Returns false if the
     * peer's state is not newer or can't be parsed.
     */
    bool restore_from_peer(std::string_view bytes);

    /**
     * Applies a delta that an agent received from an entry and makes the store
     * ready. Returns false if the delta does not apply.
     */
    bool apply(const v1::ConfigurationDelta& delta);

    /**
     * Returns the serialized state for a peer; an empty string while the store
     * is not ready.
     */
    std::string serialized_state() const;
    v1::SnapshotRecord snapshot() const;
    v1::ConfigurationDelta delta_after(std::uint64_t revision) const;
    std::optional<v1::ChangeOutcome>
    find_change(const std::string& change_id) const;
    std::optional<v1::ClaimState> claim(const std::string& upstream) const;
    change_progress progress(const v1::ChangeRecord& change) const;
    std::uint64_t count(apply_result result) const;

    /**
     * Waits until revision() exceeds `revision`. Returns false if the deadline
     * passes first.
     */
    bool wait_past(std::uint64_t revision, time_point deadline) const;

private:
    /** Updates the view, releases the lock and calls the hooks. */
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
