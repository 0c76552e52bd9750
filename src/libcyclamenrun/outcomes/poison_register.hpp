#ifndef CYCLAMENRUN_POISON_REGISTER_HPP
#define CYCLAMENRUN_POISON_REGISTER_HPP

#include "clock.hpp"
#include "lost_run.hpp"
#include "mark_key.hpp"
#include "part_clearance.hpp"
#include "part_findings.hpp"
#include "poison_rule.hpp"
#include "recent_runs.hpp"
#include "solo_claims.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cyclamenrun::link
{
class PoisonMark;
}

namespace cyclamenrun
{

/** Classification of a request by the losses recorded for it. */
enum class poison_verdict : std::uint8_t {
    clean,
    suspect, ///< upstreams were lost while running it; it is run alone
    poison,  ///< enough were lost to convict it; it is refused
};

/** What convicts a request. */
struct poison_grounds {
    suspect_kind kind = suspect_kind::request;
    std::uint64_t fingerprint = 0; ///< of the request or the part
    unsigned losses = 0;           ///< upstreams lost under it
    time_point next_trial;         ///< when it may run once more
};

/**
 * Records which requests, and which parts of prompts, were running on an
 * upstream when it was lost.
 *
 * Guards against requests that crash every upstream they run on: one that its
 * caller keeps resending, or many that have a part of their prompts in common.
 * A loss marks all requests that were running there, and the parts of their
 * prompts. Each of them next runs alone, so a further loss identifies the one
 * that caused it, and a run that goes well clears it. `poison_rules` says what
 * marks, convicts and clears. Processes exchange marks; a mark carries the id
 * of its loss, so repeated reports of a loss count once.
 */
class poison_register
{
public:
    poison_register(std::size_t capacity, duration mark_lifetime);

    // Evidence.

    void record_loss(const lost_run& run, time_point now);
    /**
     * Clears what a run shows to be harmless that began to write then and has
     * got so far.
     */
    void record_run(const suspected_work& work, run_progress progress,
                    time_point began_at, time_point now);
    /**
     * Clears the marks of a loss after the process that was reported lost has
     * responded again.
     */
    void clear_loss(std::uint64_t loss, time_point now);

    // Verdicts.

    poison_verdict verdict(const suspected_work& work, time_point now) const;
    /** True if a loss under the whole request is not explained by a part. */
    bool is_request_suspected(std::uint64_t fingerprint, time_point now) const
    {
        return !unexplained_losses(fingerprint, now).empty();
    }
    /** The request with those of its parts that are suspected or convicted. */
    suspected_work suspects_of(const suspected_work& work,
                               time_point now) const;
    /**
     * The parts of which one or more may be deadly if a run is lost that is to
     * find out whether convicted ones are; empty: none is convicted.
     */
    std::vector<std::uint64_t> parts_to_test(const suspected_work& work,
                                             time_point now) const;
    /** Why the request is refused; empty: it is not. */
    std::optional<poison_grounds> grounds(const suspected_work& work,
                                          time_point now) const;
    /**
     * When a poison request may run once, so that a healthy one is not refused
     * for the whole lifetime of its marks. The time grows with each loss, and
     * after two trials there are no more.
     */
    time_point next_trial(const suspected_work& work, time_point now) const;

    /**
     * When a request with a convicted part that is not refused may run: those
     * without parts of which nothing is known show more of it.
     */
    time_point test_time(const suspected_work& work, time_point now) const;

    // Solo runs.

    /** Claims the right to run the suspects of this work alone. */
    void claim_solo(const suspected_work& work, std::uint64_t id,
                    time_point now);
    void release_solo(std::uint64_t id);
    /** Whether another process has precedence over this claim. */
    bool is_solo_beaten(std::uint64_t id, time_point now) const;
    /** Whether a suspect of this work is claimed. */
    bool is_solo_claimed(const suspected_work& work, time_point now) const;
    /**
     * Whether one more run by two processes at once would be one loss too many.
     */
    bool needs_confirmed_claim(const suspected_work& work,
                               time_point now) const;

    // Exchange with other processes.

    void merge(const link::PoisonMark& mark, time_point now);
    /** Counts changes; a peer at this version needs only later marks. */
    std::uint64_t version() const { return version_; }
    std::vector<link::PoisonMark> marks_since(std::uint64_t version,
                                              time_point now) const;
    /** What has changed after a version, solo runs aside. */
    std::vector<mark_key> changed_since(std::uint64_t version,
                                        time_point now) const;
    /** The marks that are kept under a key; empty: none any more. */
    std::vector<link::PoisonMark> lasting_marks(const mark_key& key,
                                                time_point now) const;
    /** Marks in the order of their changes. */
    struct mark_batch {
        std::vector<link::PoisonMark> marks;
        std::uint64_t version = 0; ///< that the marks reach
    };
    /** Returns the oldest marks since a version, of a few whole records. */
    mark_batch oldest_marks_since(std::uint64_t version, std::size_t max_bytes,
                                  time_point now) const;

    /** Number of requests with marks. */
    std::size_t size() const { return requests_.size(); }
    /** Fingerprints of the parts of prompts that are refused. */
    const std::vector<std::uint64_t>& convicted_parts(time_point now) const
    {
        return findings(now).convicted();
    }
    /** How many parts of this work have run well here lately. */
    std::size_t count_recent_parts(const suspected_work& work,
                                   time_point now) const;
    /** Numbers of requests and of parts of prompts that are refused. */
    std::size_t count_poison(suspect_kind kind, time_point now) const;

private:
    /** Marks of one request. The parts are those of its prompt. */
    struct request_record {
        std::vector<lost_run> losses; ///< without parts
        std::vector<std::uint64_t> cleared_losses;
        std::vector<std::uint64_t> parts;
        std::uint64_t changed = 0; ///< version of the last change
        time_point deadline;       ///< when the marks expire
    };
    struct known_clearance {
        part_clearance told;
        std::uint64_t changed = 0;
        time_point deadline;
    };
    enum class change_kind : std::uint8_t { request, clearance, claim };
    /** A change of one record that other processes are to be told. */
    struct change {
        std::uint64_t version = 0;
        change_kind kind = change_kind::request;
        std::uint64_t key = 0;
    };
    struct dated_findings {
        part_findings found;
        /** Losses of upstreams that had begun to answer a run. */
        std::unordered_set<std::uint64_t> begun_losses;
        std::uint64_t version = 0;
        time_point expires_at; ///< when the first marks expire
    };

    /**
     * Returns the record, with a new version and lifetime, for a change that
     * was made at that time.
     */
    request_record& touch(std::uint64_t fingerprint, time_point now,
                          time_point changed_at);
    /** Counts a change that may change verdicts; returns the new version. */
    std::uint64_t change_evidence();
    void add_loss(const lost_run& run, time_point now);
    void clear_request(std::uint64_t fingerprint, time_point now);
    void clear_part(const part_clearance& clearance, time_point now);
    /** Clears a part that has run well here, unless it ran later elsewhere. */
    void clear_part_run_here(std::uint64_t part, time_point ran_at,
                             time_point now);
    /** Clears parts of a loss by the runs here. */
    void clear_parts_run_here(const suspected_work& work, time_point now);
    bool is_cleared(std::uint64_t part, time_point lost_at) const;
    /** Whether the part is known to have run well, lately or before. */
    bool has_run_well(std::uint64_t part) const;
    /** Whether the part ran well shortly before this loss. */
    bool has_run_before(std::uint64_t part, time_point lost_at) const;
    /** Whether nothing is known of a part, neither good nor bad. */
    bool is_untried(std::uint64_t part, time_point now) const;
    bool has_untried_part(const suspected_work& work, time_point now) const;
    /**
     * Whether a run of this work can show whether its convicted parts are
     * deadly.
     */
    bool can_test_parts(const suspected_work& work, time_point now) const;
    std::vector<std::uint64_t> accused_parts(const request_record& known,
                                             time_point lost_at) const;
    const request_record* find(std::uint64_t fingerprint, time_point now) const;

    const dated_findings& current_findings(time_point now) const;
    const part_findings& findings(time_point now) const
    {
        return current_findings(now).found;
    }
    /** Losses of a request that no convicted part explains. */
    std::vector<lost_run> unexplained_losses(std::uint64_t fingerprint,
                                             time_point now) const;
    /** Sum of the weights of a request's losses. */
    unsigned weight_of(const std::vector<lost_run>& losses,
                       time_point now) const;
    bool is_convicted(std::uint64_t fingerprint, time_point now) const;
    bool is_part_convicted(const suspected_work& work, time_point now) const;
    std::optional<poison_grounds> request_grounds(std::uint64_t fingerprint,
                                                  time_point now) const;
    std::optional<poison_grounds> part_grounds(const suspected_work& work,
                                               time_point now) const;
    void merge_claim(const link::PoisonMark& mark, time_point now);
    void merge_clearance(const link::PoisonMark& mark, time_point now);
    std::vector<link::PoisonMark> marks_of(std::uint64_t fingerprint,
                                           const request_record& known,
                                           time_point now) const;
    std::vector<link::PoisonMark> marks_of(const change& told,
                                           time_point now) const;
    /** The changes after a version, the oldest first. */
    std::vector<change> changes_since(std::uint64_t version,
                                      time_point now) const;
    void make_room(time_point now);

    std::size_t capacity_;
    duration mark_lifetime_;
    std::uint64_t version_ = 0;
    std::uint64_t evidence_version_ = 0; ///< as version_, without solo runs
    std::unordered_map<std::uint64_t, request_record> requests_;
    std::unordered_map<std::uint64_t, known_clearance> cleared_parts_;
    recent_runs recent_runs_;
    solo_claims claims_;
    mutable dated_findings findings_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_REGISTER_HPP
