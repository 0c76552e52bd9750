#ifndef CYCLAMENRUN_GATE_HPP
#define CYCLAMENRUN_GATE_HPP

#include "admission.hpp"
#include "gate_settings.hpp"
#include "link.pb.h"
#include "poison_register.hpp"
#include "refusal.hpp"
#include "session_table.hpp"
#include "ticket_book.hpp"
#include "tombstones.hpp"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** What the upstream is to be asked to run. */
struct run_order {
    work_id work = 0;
    std::string request_id;
    link::WorkKind kind = link::WORK_KIND_GENERATION;
    std::string path;
    std::string body;
    int priority = 0;
    time_point deadline;
};

/** How a gate acts on the world; called without its lock. */
struct gate_hooks {
    std::function<void(const run_order&)> start;
    std::function<void(work_id)> stop;
    std::function<void(reader_id)> wake; ///< there is something to pull
    std::function<void()> news;          ///< load_change() or marks moved
};

/**
 * The one way to an upstream: what it has not admitted does not run.
 *
 * All that is decided about a piece of work (admission, cancellation,
 * refusal, drain, completion) is decided here under one lock, so of two that
 * race exactly one wins, and the answer says which. The gate speaks for one
 * incarnation of one agent and knows nothing of any other.
 */
class gate
{
public:
    gate(gate_settings settings, gate_hooks hooks);

    // Commands of entries.
    outcome<reader_id> submit(const link::Dispatch& dispatch, time_point now);
    outcome<reader_id> resume(const link::Resume& resume, time_point now);
    refusal cancel(const link::Cancel& cancel, time_point now);
    void acknowledge(const link::Acknowledge& acknowledge, time_point now);
    reader_frames pull(reader_id reader, std::size_t max_bytes, time_point now);
    void detach(reader_id reader, time_point now);

    // What the upstream did. Ignored for work that does not run (any more).
    void token_made(work_id work, const std::string& text, time_point now);
    void finished(work_id work, const std::string& finish_reason,
                  time_point now);
    void answered(work_id work, call_answer answer, time_point now);
    void run_failed(work_id work, const refusal& why, time_point now);
    /** The engine's process is gone, and with it all that ran on it. */
    void engine_lost(time_point now);
    /**
     * The engine answers and runs nothing of ours; `foreign_tokens` of its
     * memory are still held by what an earlier incarnation started.
     */
    void engine_ready(std::uint64_t foreign_tokens, time_point now);
    /** What the engine says of its own load, late. */
    void engine_load(const engine_load_hint& hint, time_point now);

    // Commands of operators and the platform.
    void drain(time_point now);
    /** The VM goes away at `deadline`: what has not ended then has failed. */
    void reclaim(time_point deadline, time_point now);
    /** The service's objective, by the configuration in force. */
    void pursue(objective goal);
    void merge_marks(const std::vector<link::PoisonMark>& marks,
                     time_point now);
    /** Does what time alone brings about. */
    void tick(time_point now);

    // Queries.
    /** Whether the upstream should (still) run this. */
    bool wanted(work_id work) const;
    bool draining() const;
    /** Draining, nothing runs, every answer was fetched or given up, and no
     *  dispatch can be on its way any more. */
    bool drained(time_point now) const;
    link::LoadReport load(time_point now) const;
    /** Counts what a peer should hear of at once. */
    std::uint64_t load_change() const;
    std::uint64_t marks_version() const;
    std::vector<link::PoisonMark> marks_since(std::uint64_t version) const;
    /** Visits each session under the lock, for the state dump. */
    void visit(
        const std::function<void(work_id, const work_session&)>& visitor) const;

private:
    /** What is to be done once the lock is released. */
    struct effects {
        std::vector<run_order> starts;
        std::vector<work_id> stops;
        std::vector<reader_id> wakes;
        bool news = false;
    };

    outcome<reader_id> submit_locked(const link::Dispatch& dispatch,
                                     time_point now, effects& todo);
    outcome<void> check(const link::Dispatch& dispatch, time_point now) const;
    outcome<work_id> take_in(const link::Dispatch& dispatch, time_point now);
    outcome<work_id> find_for_resume(const link::Resume& resume,
                                     time_point now);
    void admit(time_point now, effects& todo);
    void end(work_session& session, time_point now, effects& todo);
    void refuse(work_session& session, const refusal& why, time_point now,
                effects& todo);
    /** Ends work that nobody wants or may have any more. */
    void give_up(work_id work, work_session& session, refusal_reason reason,
                 time_point now, effects& todo);
    void expire(time_point now, effects& todo);
    void refuse_all_waiting(const refusal& why, time_point now, effects& todo);
    bool entomb(const std::string& request_id, time_point now);
    work_session* running_session(work_id work);
    std::uint64_t next_loss();
    link::LoadReport load_locked(time_point now) const;
    void run(const effects& todo) const;

    gate_settings settings_;
    gate_hooks hooks_;

    mutable std::mutex mutex_;
    admission admission_;
    tombstones tombstones_;
    ticket_book tickets_;
    poison_register poison_;
    session_table sessions_;
    std::uint64_t engine_losses_ = 0;
    std::uint64_t load_change_ = 0;
    bool engine_ready_ = false;
    bool draining_ = false;
    time_point linger_deadline_{};
    std::optional<time_point> reclaim_deadline_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATE_HPP
