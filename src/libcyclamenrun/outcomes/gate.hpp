#ifndef CYCLAMENRUN_GATE_HPP
#define CYCLAMENRUN_GATE_HPP

#include "admission.hpp"
#include "gate_settings.hpp"
#include "link.pb.h"
#include "poison_admission.hpp"
#include "poison_register.hpp"
#include "refusal.hpp"
#include "session_table.hpp"
#include "ticket_use_registry.hpp"
#include "tombstones.hpp"
#include "upstream_notices.hpp"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** What may be to blame if the engine crashes while it runs this work. */
suspected_work suspected_work_of(const link::Dispatch& dispatch);

/** A work item that the gate has admitted and the upstream is to run. */
struct admitted_work {
    work_id work = 0;
    std::string request_id;
    link::WorkKind kind = link::WORK_KIND_GENERATION;
    std::string path;
    std::string body;
    int priority = 0; ///< the engine preempts lower values first
    time_point deadline;
};

/** Callbacks of a gate. They are called without the gate's lock held. */
struct gate_hooks {
    std::function<void(const admitted_work&)> start;
    std::function<void(work_id)> stop;
    std::function<void(reader_id)> wake; ///< pull() has data for the reader
    /** load_change() or marks_version() may have advanced. */
    std::function<void()> state_changed;
};

/**
 * Controls all access to one upstream: only work that the gate has admitted
 * runs there.
 *
 * Admission, cancellation, refusal, drain and completion of a work item are
 * decided under one lock. Of two racing events exactly one wins, and the
 * response reports the winner. A gate belongs to one incarnation of one agent
 * and holds no state of earlier incarnations.
 */
class gate
{
public:
    gate(gate_settings settings, gate_hooks hooks);

    // Commands from entries.
    /**
     * Queues the work of a dispatch, or refuses it, and returns a reader of the
     * answer. A ticket that was used before gets the answer of its first use.
     */
    outcome<reader_id> submit(const link::Dispatch& dispatch, time_point now);
    /**
     * Returns a further reader of an answer. Refuses an id that was not
     * submitted, and then also its dispatch if that arrives later.
     */
    outcome<reader_id> resume(const link::Resume& resume, time_point now);
    /**
     * Cancels a request. The refusal is not_run only if the work did not begin
     * and never will.
     */
    refusal cancel(const link::Cancel& cancel, time_point now);
    /** Records that an entry has written the whole answer to its caller. */
    void acknowledge(const link::Acknowledge& acknowledge, time_point now);
    /** Returns a reader's next frames, see session_table::pull(). */
    reader_frames pull(reader_id reader, std::size_t max_bytes, time_point now);
    /**
     * Removes a reader. Work that has no reader left is cancelled after
     * gate_settings::resume_grace.
     */
    void detach(reader_id reader, time_point now);

    // Events of the upstream. Events of work that is not running are ignored.
    void record_token(work_id work, const std::string& text, time_point now);
    void record_finish(work_id work, const std::string& finish_reason,
                       time_point now);
    void record_answer(work_id work, call_answer answer, time_point now);
    void run_failed(work_id work, const refusal& why, time_point now);
    /** Handles the end of the engine's process: all running work is lost. */
    void engine_lost(time_point now);
    /**
     * Handles an engine that responds and runs no work of this gate.
     * `external_tokens` is the engine memory, in tokens, that work of an
     * earlier incarnation still occupies.
     */
    void engine_ready(std::uint64_t external_tokens, time_point now);
    /**
     * Handles what the upstream says of itself. While it rests or leaves,
     * waiting and new work is refused; running work continues.
     */
    void record_notice(const upstream_notice& notice, time_point now);
    /** Handles a load report of the engine, which lags the actual load. */
    void update_engine_load(const engine_load_hint& hint, time_point now);

    // Commands from operators and the platform.
    /** Refuses all waiting and new work; running work continues. */
    void drain(time_point now);
    /**
     * Drains the gate because the platform reclaims the VM at `deadline`; work
     * that is still running then fails.
     */
    void reclaim(time_point deadline, time_point now);
    /** Applies the objective that the configuration sets for the service. */
    void apply_objective(objective goal);
    /** Adds the poison marks that an entry has sent. */
    void merge_marks(const std::vector<link::PoisonMark>& marks,
                     time_point now);
    /** Applies expired deadlines and admits work; to be called periodically. */
    void tick(time_point now);
    /**
     * Extends the time in which callers and entries may return: this process
     * could not react for `missed`; see awake_clock.
     */
    void record_missed(duration missed);

    // Queries.
    /** Whether the upstream should run this work item. */
    bool should_run(work_id work) const;
    bool draining() const;
    /** Whether the upstream has said that it leaves. */
    bool upstream_leaving() const;
    /** Time until the end of the upstream's rest; zero: it does not rest. */
    milliseconds rest_left(time_point now) const;
    /**
     * Whether the drain is complete: no work is left, every answer was
     * acknowledged or has expired, and no dispatch can still be in transit.
     */
    bool drained(time_point now) const;
    link::LoadReport load(time_point now) const;
    /** Counts the load changes that entries must learn of immediately. */
    std::uint64_t load_change() const;
    std::uint64_t marks_version() const;
    std::vector<link::PoisonMark> marks_since(std::uint64_t version,
                                              time_point now) const;
    /** Calls `visitor` for each session under the lock, for the state dump. */
    void visit(
        const std::function<void(work_id, const work_session&)>& visitor) const;

private:
    /** Callbacks to run once the lock is released. */
    struct deferred_calls {
        std::vector<admitted_work> starts;
        std::vector<work_id> stops;
        std::vector<reader_id> wakes;
        bool state_changed = false;
    };

    outcome<reader_id> submit_locked(const link::Dispatch& dispatch,
                                     time_point now, deferred_calls& deferred);
    outcome<void> check(const link::Dispatch& dispatch, time_point now) const;
    outcome<void> check_notices(time_point now) const;
    outcome<work_id> create_session(const link::Dispatch& dispatch,
                                    time_point now);
    outcome<work_id> find_for_resume(const link::Resume& resume,
                                     time_point now);
    void admit(time_point now, deferred_calls& deferred);
    void end(work_session& session, time_point now, deferred_calls& deferred);
    void refuse(work_session& session, const refusal& why, time_point now,
                deferred_calls& deferred);
    /** Ends work for `reason`. A running call that is cancelled continues. */
    void abort_work(work_id work, work_session& session, refusal_reason reason,
                    time_point now, deferred_calls& deferred);
    void expire(time_point now, deferred_calls& deferred);
    void refuse_all_waiting(const refusal& why, time_point now,
                            deferred_calls& deferred);
    /** Refuses waiting work that would crash the engine. */
    void refuse_waiting_poison(time_point now, deferred_calls& deferred);
    /** Marks work that was running when the engine was lost. */
    void mark_lost(work_session& session, std::uint64_t loss, time_point now);
    /** Records that the engine has made a token for running work. */
    void record_progress(work_session& session, time_point now);
    bool add_tombstone(const std::string& request_id, time_point now);
    work_session* running_session(work_id work);
    std::uint64_t next_loss_id();
    link::LoadReport load_locked(time_point now) const;
    void run(const deferred_calls& deferred) const;

    gate_settings settings_;
    gate_hooks hooks_;

    mutable std::mutex mutex_;
    admission admission_;
    tombstones tombstones_;
    ticket_use_registry tickets_;
    poison_register poison_;
    session_table sessions_;
    upstream_notices notices_; ///< of the one upstream
    std::uint64_t engine_losses_ = 0;
    std::uint64_t load_change_ = 0;
    bool engine_ready_ = false;
    bool draining_ = false;
    time_point linger_deadline_{};
    std::optional<time_point> reclaim_deadline_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATE_HPP
