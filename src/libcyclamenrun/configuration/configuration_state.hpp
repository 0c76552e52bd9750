#ifndef CYCLAMENRUN_CONFIGURATION_STATE_HPP
#define CYCLAMENRUN_CONFIGURATION_STATE_HPP

#include "configuration_resources.hpp"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenrun
{

/**
 * Outcome of applying one record of the log. The first four change the state;
 * changes_state() relies on this order.
 */
enum class apply_result : std::uint8_t {
    accepted,     ///< the change is in force
    conflict,     ///< the change's base revision was not current
    invalid,      ///< the change failed a check
    claimed,      ///< an agent's claim to send orders took effect
    duplicate,    ///< another copy of a change that has an outcome
    reused_id,    ///< a different change already used this id
    stale_claim,  ///< the claim's base fencing number was not current
    snapshot,     ///< only repeats the content of earlier records
    unparsable,   ///< not a record, one without content, or an invalid claim
    newer_schema, ///< written with the schema of a later release
    oversized,    ///< larger than change_limits::max_record_bytes
    out_of_order, ///< not the next record; not applied
};

constexpr std::size_t apply_result_count = 12;

std::string_view name_of(apply_result result);

/**
 * Returns whether a reader that skips a record with this result would reach a
 * different state.
 */
bool changes_state(apply_result result);

/**
 * The configuration, computed deterministically from the log's records in
 * offset order. Readers that have applied the same records hold the same
 * state, so the same one of several concurrent changes wins everywhere.
 * The revision is the offset of the next record to apply.
 */
class configuration_state
{
public:
    /**
     * Applies the record if `offset` equals revision(); returns out_of_order
     * otherwise.
     */
    apply_result apply(std::uint64_t offset, std::string_view bytes);

    std::uint64_t revision() const { return next_offset_; }
    const configuration_resources& resources() const { return resources_; }

    /**
     * Returns the outcome of a change. Empty if the change is not applied as
     * of revision(), or if its outcome is no longer among the last
     * max_outcomes.
     */
    std::optional<v1::ChangeOutcome>
    find_change(const std::string& change_id) const;

    /** Returns the claim in force for an upstream. */
    std::optional<v1::ClaimState> claim(const std::string& upstream) const;

    /**
     * Returns the whole state. Readers that have applied the same records
     * serialize it to the same bytes.
     */
    v1::SnapshotRecord snapshot() const;

    /**
     * Replaces this state with a whole snapshot if the snapshot is newer.
     * Returns false, without any effect, otherwise.
     */
    bool restore(const v1::SnapshotRecord& snapshot);

    /**
     * Returns the delta from `revision` to revision(). It contains a whole
     * snapshot if the records since `revision` are no longer kept.
     */
    v1::ConfigurationDelta delta_after(std::uint64_t revision) const;

    /**
     * Applies a delta. Returns false if the delta starts after revision(),
     * does not lead beyond it, or is inconsistent.
     */
    bool apply(const v1::ConfigurationDelta& delta);

    /**
     * Returns the number of records with this result since the process
     * started, for the state dump.
     */
    std::uint64_t count(apply_result result) const;

    /** Schema number of the records that this release writes. */
    static constexpr std::uint32_t schema = 1;
    static constexpr std::size_t max_outcomes = 1024;
    /** Above this, the claim with the lowest fencing number is dropped. */
    static constexpr std::size_t max_claims = 8192;
    static constexpr std::size_t max_recent_records = 512;

private:
    struct recent_record {
        std::uint64_t offset = 0;
        std::string bytes;
    };

    apply_result apply_record(std::uint64_t offset, std::string_view bytes);
    apply_result apply_change(std::uint64_t offset,
                              const v1::ChangeRecord& change);
    apply_result evaluate(const v1::ChangeRecord& change) const;
    apply_result apply_claim(std::uint64_t offset,
                             const v1::ClaimRecord& claim);
    void put_resource(std::uint64_t offset, const v1::ChangeRecord& change);
    void store_outcome(v1::ChangeOutcome outcome);
    void store_claim(v1::ClaimState claim);
    void store_recent_record(std::uint64_t offset, std::string_view bytes);
    bool apply_records(const v1::ConfigurationDelta& delta);

    std::uint64_t next_offset_ = 0;
    configuration_resources resources_;
    std::unordered_map<std::string, v1::ChangeOutcome> outcomes_;
    std::deque<std::string> outcome_order_;
    std::map<std::string, v1::ClaimState> claims_;
    std::map<std::uint64_t, std::string> upstreams_by_fencing_number_;
    std::deque<recent_record> recent_records_;
    /** Revision since which recent_records_ is complete. */
    std::uint64_t recent_records_from_ = 0;
    std::array<std::uint64_t, apply_result_count> counts_{};
};

/** Returns a hash that distinguishes different changes with the same id. */
std::uint64_t fingerprint_of(const v1::ChangeRecord& change);

/** Serializes a change or a claim as a record of the log. */
std::string log_record_of(const v1::ChangeRecord& change);
std::string log_record_of(const v1::ClaimRecord& claim);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_STATE_HPP
