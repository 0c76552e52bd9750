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

/** What became of one record of the log. The first four change the state. */
enum class apply_result : std::uint8_t {
    accepted,     ///< the change is in force
    conflict,     ///< the change's base was not current
    invalid,      ///< the change failed a check
    claimed,      ///< a claim to give orders took effect
    duplicate,    ///< the change's id has its outcome already
    reused_id,    ///< another change has this id
    stale_claim,  ///< the claim's base was not current
    snapshot,     ///< says nothing that the records before it did not
    unparsable,   ///< not a record, or one without content
    newer_schema, ///< written for a later release
    oversized,    ///< over the size that a record may have
    out_of_order, ///< not the next record: nothing was applied
};

constexpr std::size_t apply_result_count = 12;

std::string_view name_of(apply_result result);

/** Whether a reader that skips the record would end in another state. */
bool changes_state(apply_result result);

/**
 * The configuration as a function of the log's records in order of offset.
 * Every reader that has applied the same records holds the same state, so
 * that racing operators see the same winner everywhere. Its revision is the
 * offset of the record that it applies next.
 */
class configuration_state
{
public:
    /** Applies the record if `offset` is revision(). */
    apply_result apply(std::uint64_t offset, std::string_view bytes);

    std::uint64_t revision() const { return next_offset_; }
    const configuration_resources& resources() const { return resources_; }

    /** Empty: not applied as of revision(), or longer ago than is kept. */
    std::optional<v1::ChangeOutcome>
    find_change(const std::string& change_id) const;

    /** The claim in force for an upstream. */
    std::optional<v1::ClaimState> claim(const std::string& upstream) const;

    /** The whole state; the same bytes for the same records. */
    v1::SnapshotRecord snapshot() const;

    /** Takes the place of a state that is older; false: nothing was done. */
    bool restore(const v1::SnapshotRecord& snapshot);

    /** Leads from `revision` to revision(), whole if that is too far back. */
    v1::ConfigurationDelta delta_after(std::uint64_t revision) const;

    /** False: the delta starts after revision(), or leads nowhere. */
    bool apply(const v1::ConfigurationDelta& delta);

    /** Records by result since the process started, for the dump. */
    std::uint64_t count(apply_result result) const;

    static constexpr std::uint32_t schema = 1;
    static constexpr std::size_t max_outcomes = 1024;
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
    apply_result judge(const v1::ChangeRecord& change) const;
    apply_result apply_claim(std::uint64_t offset,
                             const v1::ClaimRecord& claim);
    void put_in_force(std::uint64_t offset, const v1::ChangeRecord& change);
    void keep_outcome(v1::ChangeOutcome outcome);
    void keep_claim(v1::ClaimState claim);
    void keep_recent(std::uint64_t offset, std::string_view bytes);
    bool take_records(const v1::ConfigurationDelta& delta);

    std::uint64_t next_offset_ = 0;
    configuration_resources resources_;
    std::unordered_map<std::string, v1::ChangeOutcome> outcomes_;
    std::deque<std::string> outcome_order_;
    std::map<std::string, v1::ClaimState> claims_;
    std::map<std::uint64_t, std::string> claim_order_; ///< upstream by number
    std::deque<recent_record> recent_;
    std::uint64_t recent_from_ = 0; ///< revision from which recent_ is whole
    std::array<std::uint64_t, apply_result_count> counts_{};
};

/** Tells a change from another one with the same id. */
std::uint64_t fingerprint_of(const v1::ChangeRecord& change);

/** A change as it goes onto the log. */
std::string log_record_of(const v1::ChangeRecord& change);
std::string log_record_of(const v1::ClaimRecord& claim);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_STATE_HPP
