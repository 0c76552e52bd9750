#ifndef CYCLAMENRUN_POISON_GUARD_HPP
#define CYCLAMENRUN_POISON_GUARD_HPP

#include "clock.hpp"
#include "peer_exchange.hpp"
#include "poison_admission.hpp"
#include "poison_register.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/**
 * A gateway's marks against requests and parts of prompts that crash upstreams,
 * shared with the other gateways. Does no I/O.
 */
class poison_guard
{
public:
    struct hooks {
        /** The marks have changed and are to be sent to other gateways. */
        std::function<void()> changed;
        /** Requests with this fingerprint, or part, are refused from now on. */
        std::function<void(suspect_kind, std::uint64_t fingerprint)> convicted;
        /** Marks that were changed here, not by other gateways; may be empty.
         */
        std::function<void(const std::vector<mark_key>&)> recorded = {};
    };

    explicit poison_guard(std::mt19937_64& random);
    void set_hooks(hooks on) { on_ = std::move(on); }
    /** Sets the time in which other gateways hear of a change here. */
    void set_news_time(milliseconds time) { news_time_ = time; }

    /** Admits a request before each send, see admit_send(). */
    poison_admission admit(const suspected_work& work, solo_run& claim,
                           time_point now);
    /** Releases the claim of a request whose send has ended. */
    void end_solo(solo_run& claim);
    /** True if the request would be refused, unless it is on trial. */
    bool is_poison(const suspected_work& work, time_point now) const;
    /** Why the request is refused; empty: it is not. */
    std::optional<poison_grounds> grounds(const suspected_work& work,
                                          time_point now) const
    {
        return marks_.grounds(work, now);
    }

    /**
     * Another process uses the id of the upstream: its crash is another loss.
     * Gateways agree on that as far as they have seen the same replacements.
     */
    void record_replacement(const std::string& upstream);
    /**
     * The process that uses the id started then. All gateways agree on its
     * loss, also those that start later.
     */
    void record_start(const std::string& upstream, std::int64_t started_ms);
    /** Records a run at an upstream that has crashed; sets its loss. */
    void record_crash(const std::string& upstream, lost_run run,
                      time_point now);
    /** Records a run that has gone on for `settling_time` since then. */
    void record_settled(const suspected_work& work, time_point first_part_at,
                        time_point now);
    /**
     * Records a complete answer whose first part arrived at `first_part_at`. An
     * upstream that crashes right after it clears no part.
     */
    void record_success(const std::string& upstream, const suspected_work& work,
                        time_point first_part_at, time_point now);
    /** Handles what is due; to be called each tenth of a second or so. */
    void tick(time_point now);

    /** The marks as a table that gateways share. */
    peer_table table();
    /** Takes marks over that another process has recorded. */
    void merge(const v1::PeerMessage& message, time_point now);
    /** The marks that are kept under a key; empty: none any more. */
    std::vector<link::PoisonMark> lasting_marks(const mark_key& key,
                                                time_point now) const;
    std::size_t size() const { return marks_.size(); }
    /** How many parts of this work have run well here lately. */
    std::size_t count_recent_parts(const suspected_work& work,
                                   time_point now) const
    {
        return marks_.count_recent_parts(work, now);
    }
    std::size_t count_poison(suspect_kind kind, time_point now) const
    {
        return marks_.count_poison(kind, now);
    }

private:
    std::uint64_t loss_of(const std::string& upstream) const;
    /** A complete answer whose upstream may still crash under it. */
    struct settling_run {
        lost_run run; ///< as it is recorded if the upstream crashes
        time_point settles_at;
    };

    /** Makes a change that may convict these requests, or parts of prompts. */
    template <typename Change>
    void apply(const std::vector<std::uint64_t>& requests, time_point now,
               Change change);
    /** The same for a change made here, which other gateways are told of. */
    template <typename Change>
    void change(const std::vector<std::uint64_t>& requests, time_point now,
                Change change_marks);
    void report_convictions(const std::vector<std::uint64_t>& requests,
                            time_point now);
    /** Records the answers that ended just before their upstream crashed. */
    void accuse_settling(std::uint64_t loss, time_point now);

    poison_register marks_;
    std::mt19937_64& random_;
    milliseconds news_time_{0};
    std::vector<settling_run> settling_;
    /** How often another process has taken an upstream's id. */
    std::unordered_map<std::string, std::uint64_t> replacements_;
    /** Start of the process that uses an upstream's id, if it is known. */
    std::unordered_map<std::string, std::int64_t> starts_;
    std::vector<std::uint64_t> convicted_parts_; ///< as last reported
    hooks on_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_GUARD_HPP
