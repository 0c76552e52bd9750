#include "configuration_state.hpp"

#include "change_validation.hpp"
#include "digest.hpp"
#include "message_reader.hpp"

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, apply_result_count> result_names{
    "accepted",   "conflict",     "invalid",     "claimed",
    "duplicate",  "reused_id",    "stale_claim", "snapshot",
    "unparsable", "newer_schema", "oversized",   "out_of_order",
};

v1::ChangeResult wire_result(apply_result result)
{
    if (result == apply_result::accepted)
        return v1::CHANGE_RESULT_ACCEPTED;
    return result == apply_result::conflict ? v1::CHANGE_RESULT_CONFLICT
                                            : v1::CHANGE_RESULT_INVALID;
}

bool is_valid_id(const std::string& id)
{
    return !id.empty() && id.size() <= change_limits::max_change_id_length;
}

bool is_valid(const v1::ClaimRecord& claim)
{
    return claim.incarnation() != 0 && !claim.upstream().empty() &&
           claim.upstream().size() <= change_limits::max_model_length;
}

} // namespace

std::string_view name_of(apply_result result)
{
    return result_names.at(static_cast<std::size_t>(result));
}

bool changes_state(apply_result result)
{
    return result <= apply_result::claimed;
}

apply_result configuration_state::apply(std::uint64_t offset,
                                        std::string_view bytes)
{
    apply_result result = apply_result::out_of_order;
    if (offset == next_offset_) {
        result = apply_record(offset, bytes);
        ++next_offset_;
    }
    if (changes_state(result))
        store_recent_record(offset, bytes);
    ++counts_.at(static_cast<std::size_t>(result));
    return result;
}

apply_result configuration_state::apply_record(std::uint64_t offset,
                                               std::string_view bytes)
{
    if (bytes.size() > change_limits::max_record_bytes)
        return apply_result::oversized;
    v1::LogRecord record;
    if (!read_checked(bytes, record))
        return apply_result::unparsable;
    if (record.schema() > schema)
        return apply_result::newer_schema;
    if (record.schema() == 0)
        return apply_result::unparsable;
    switch (record.what_case()) {
    case v1::LogRecord::kChange:
        return apply_change(offset, record.change());
    case v1::LogRecord::kClaim:
        return apply_claim(offset, record.claim());
    case v1::LogRecord::kSnapshot:
        return apply_result::snapshot;
    case v1::LogRecord::WHAT_NOT_SET:
        break;
    }
    return apply_result::unparsable;
}

apply_result configuration_state::apply_change(std::uint64_t offset,
                                               const v1::ChangeRecord& change)
{
    const std::uint64_t fingerprint = fingerprint_of(change);
    const auto earlier = outcomes_.find(change.change_id());
    if (earlier != outcomes_.end())
        return earlier->second.fingerprint() == fingerprint
                   ? apply_result::duplicate
                   : apply_result::reused_id;

    const apply_result result = evaluate(change);
    if (result == apply_result::accepted)
        put_resource(offset, change);
    if (is_valid_id(change.change_id())) {
        v1::ChangeOutcome outcome;
        outcome.set_change_id(change.change_id());
        outcome.set_accepted(result == apply_result::accepted);
        outcome.set_revision(
            resources_.revision_of(change.kind(), change.name()));
        outcome.set_result(wire_result(result));
        outcome.set_fingerprint(fingerprint);
        outcome.set_offset(offset);
        store_outcome(std::move(outcome));
    }
    return result;
}

apply_result configuration_state::evaluate(const v1::ChangeRecord& change) const
{
    if (!check_change(change).empty())
        return apply_result::invalid;
    if (change.base_revision() !=
        resources_.revision_of(change.kind(), change.name()))
        return apply_result::conflict;
    if (!check_references(change, resources_).empty())
        return apply_result::invalid;
    return apply_result::accepted;
}

void configuration_state::put_resource(std::uint64_t offset,
                                       const v1::ChangeRecord& change)
{
    v1::ResourceState state;
    state.set_revision(offset + 1);
    state.set_kind(change.kind());
    state.set_name(change.name());
    if (change.has_resource())
        *state.mutable_resource() = change.resource();
    resources_.put(std::move(state));
}

apply_result configuration_state::apply_claim(std::uint64_t offset,
                                              const v1::ClaimRecord& claim)
{
    if (!is_valid(claim))
        return apply_result::unparsable;
    const auto current = claims_.find(claim.upstream());
    const std::uint64_t number =
        current == claims_.end() ? 0 : current->second.fencing_number();
    // A delayed copy of a claim that reaches the log after another agent's
    // claim must not give the engine back to the old agent. The copy's base
    // number is that of the claim before it and can't become current again.
    if (claim.base_fencing_number() != number)
        return apply_result::stale_claim;
    v1::ClaimState state;
    state.set_upstream(claim.upstream());
    state.set_incarnation(claim.incarnation());
    state.set_fencing_number(offset + 1);
    store_claim(std::move(state));
    return apply_result::claimed;
}

std::optional<v1::ChangeOutcome>
configuration_state::find_change(const std::string& change_id) const
{
    const auto found = outcomes_.find(change_id);
    if (found == outcomes_.end())
        return {};
    return found->second;
}

std::optional<v1::ClaimState>
configuration_state::claim(const std::string& upstream) const
{
    const auto found = claims_.find(upstream);
    if (found == claims_.end())
        return {};
    return found->second;
}

v1::SnapshotRecord configuration_state::snapshot() const
{
    v1::SnapshotRecord snapshot;
    snapshot.set_next_offset(next_offset_);
    for (const auto& state :
         resources_.of_kind(v1::RESOURCE_KIND_UNSPECIFIED, true))
        *snapshot.add_resources() = *state;
    for (const auto& id : outcome_order_)
        *snapshot.add_outcomes() = outcomes_.at(id);
    for (const auto& [upstream, claim] : claims_)
        *snapshot.add_claims() = claim;
    return snapshot;
}

bool configuration_state::restore(const v1::SnapshotRecord& snapshot)
{
    // A writer that was suspended may append an old snapshot late, and a peer
    // may be behind. Restoring an older state would revert later changes.
    if (snapshot.next_offset() <= next_offset_ || snapshot.parts() > 1)
        return false;
    const auto counts = counts_;
    *this = configuration_state();
    counts_ = counts;
    next_offset_ = snapshot.next_offset();
    recent_records_from_ = next_offset_;
    for (const auto& state : snapshot.resources())
        resources_.put(state);
    for (const auto& outcome : snapshot.outcomes())
        store_outcome(outcome);
    for (const auto& claim : snapshot.claims())
        store_claim(claim);
    return true;
}

v1::ConfigurationDelta
configuration_state::delta_after(std::uint64_t revision) const
{
    v1::ConfigurationDelta delta;
    delta.set_from_revision(revision);
    delta.set_to_revision(next_offset_);
    if (revision >= next_offset_)
        return delta;
    if (revision < recent_records_from_) {
        *delta.mutable_snapshot() = snapshot();
        return delta;
    }
    for (const auto& record : recent_records_) {
        if (record.offset < revision)
            continue;
        auto* added = delta.add_records();
        added->set_offset(record.offset);
        added->set_record(record.bytes);
    }
    return delta;
}

bool configuration_state::apply(const v1::ConfigurationDelta& delta)
{
    if (delta.to_revision() <= next_offset_)
        return false;
    if (delta.has_snapshot())
        return restore(delta.snapshot());
    return apply_records(delta);
}

bool configuration_state::apply_records(const v1::ConfigurationDelta& delta)
{
    if (delta.from_revision() > next_offset_)
        return false;
    for (const auto& record : delta.records()) {
        if (record.offset() < next_offset_)
            continue;
        if (record.offset() >= delta.to_revision())
            return false;
        // The delta omits records that do not change the state.
        next_offset_ = record.offset();
        apply(record.offset(), record.record());
    }
    next_offset_ = std::max(next_offset_, delta.to_revision());
    return true;
}

std::uint64_t configuration_state::count(apply_result result) const
{
    return counts_.at(static_cast<std::size_t>(result));
}

void configuration_state::store_outcome(v1::ChangeOutcome outcome)
{
    const std::string id = outcome.change_id();
    if (!outcomes_.emplace(id, std::move(outcome)).second)
        return;
    outcome_order_.push_back(id);
    if (outcome_order_.size() <= max_outcomes)
        return;
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
}

void configuration_state::store_claim(v1::ClaimState claim)
{
    v1::ClaimState& slot = claims_[claim.upstream()];
    upstreams_by_fencing_number_.erase(slot.fencing_number());
    upstreams_by_fencing_number_[claim.fencing_number()] = claim.upstream();
    slot = std::move(claim);
    if (claims_.size() <= max_claims)
        return;
    claims_.erase(upstreams_by_fencing_number_.begin()->second);
    upstreams_by_fencing_number_.erase(upstreams_by_fencing_number_.begin());
}

void configuration_state::store_recent_record(std::uint64_t offset,
                                              std::string_view bytes)
{
    recent_records_.push_back({offset, std::string(bytes)});
    if (recent_records_.size() <= max_recent_records)
        return;
    recent_records_from_ = recent_records_.front().offset + 1;
    recent_records_.pop_front();
}

std::uint64_t fingerprint_of(const v1::ChangeRecord& change)
{
    return hash64(change.SerializeAsString());
}

std::string log_record_of(const v1::ChangeRecord& change)
{
    v1::LogRecord record;
    record.set_schema(configuration_state::schema);
    *record.mutable_change() = change;
    return record.SerializeAsString();
}

std::string log_record_of(const v1::ClaimRecord& claim)
{
    v1::LogRecord record;
    record.set_schema(configuration_state::schema);
    *record.mutable_claim() = claim;
    return record.SerializeAsString();
}

} // namespace cyclamenrun
