#include "snapshot_parts.hpp"

#include "configuration_state.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Distributes the items of a snapshot over parts of limited size. */
class part_writer
{
public:
    part_writer(const v1::SnapshotRecord& snapshot, std::uint64_t snapshot_id,
                std::size_t part_bytes)
        : next_offset_(snapshot.next_offset()), snapshot_id_(snapshot_id),
          part_bytes_(part_bytes)
    {
        start_part();
    }

    /**
     * Returns the part to which an item of this size is to be added; starts a
     * new part if the current one has no room.
     */
    v1::SnapshotRecord& part_with_room_for(std::size_t bytes)
    {
        if (used_ > 0 && used_ + bytes > part_bytes_)
            start_part();
        used_ += bytes;
        return parts_.back();
    }

    std::vector<std::string> records()
    {
        std::vector<std::string> records;
        for (auto& part : parts_) {
            v1::LogRecord record;
            record.set_schema(configuration_state::schema);
            part.set_parts(static_cast<std::uint32_t>(parts_.size()));
            *record.mutable_snapshot() = part;
            records.push_back(record.SerializeAsString());
        }
        return records;
    }

private:
    void start_part()
    {
        v1::SnapshotRecord part;
        part.set_next_offset(next_offset_);
        part.set_snapshot_id(snapshot_id_);
        part.set_part(static_cast<std::uint32_t>(parts_.size()));
        parts_.push_back(std::move(part));
        used_ = 0;
    }

    std::uint64_t next_offset_;
    std::uint64_t snapshot_id_;
    std::size_t part_bytes_;
    std::size_t used_ = 0;
    std::vector<v1::SnapshotRecord> parts_;
};

/** Upper bound of the size of an item's tag and length. */
constexpr std::size_t item_overhead_bytes = 8;

bool is_well_formed(const v1::SnapshotRecord& part)
{
    return part.parts() >= 1 && part.parts() <= snapshot_assembler::max_parts &&
           part.part() < part.parts();
}

bool is_same_snapshot(const v1::SnapshotRecord& left,
                      const v1::SnapshotRecord& right)
{
    return left.parts() == right.parts() &&
           left.next_offset() == right.next_offset();
}

v1::SnapshotRecord
merge(const std::map<std::uint32_t, v1::SnapshotRecord>& parts)
{
    v1::SnapshotRecord whole;
    for (const auto& [number, part] : parts) {
        whole.set_next_offset(part.next_offset());
        whole.mutable_resources()->MergeFrom(part.resources());
        whole.mutable_outcomes()->MergeFrom(part.outcomes());
        whole.mutable_claims()->MergeFrom(part.claims());
    }
    return whole;
}

} // namespace

std::vector<std::string> snapshot_records(const v1::SnapshotRecord& snapshot,
                                          std::uint64_t snapshot_id,
                                          std::size_t part_bytes)
{
    part_writer writer(snapshot, snapshot_id, part_bytes);
    for (const auto& state : snapshot.resources())
        *writer.part_with_room_for(state.ByteSizeLong() + item_overhead_bytes)
             .add_resources() = state;
    for (const auto& outcome : snapshot.outcomes())
        *writer.part_with_room_for(outcome.ByteSizeLong() + item_overhead_bytes)
             .add_outcomes() = outcome;
    for (const auto& claim : snapshot.claims())
        *writer.part_with_room_for(claim.ByteSizeLong() + item_overhead_bytes)
             .add_claims() = claim;
    return writer.records();
}

std::optional<v1::SnapshotRecord>
snapshot_assembler::add(const v1::SnapshotRecord& part)
{
    if (!is_well_formed(part))
        return {};
    parts& known = parts_of(part.snapshot_id());
    if (!known.empty() && !is_same_snapshot(known.begin()->second, part))
        return {};
    known[part.part()] = part;
    if (known.size() < part.parts())
        return {};
    v1::SnapshotRecord whole = merge(known);
    remove_parts(part.snapshot_id());
    return whole;
}

snapshot_assembler::parts&
snapshot_assembler::parts_of(std::uint64_t snapshot_id)
{
    const auto found = incomplete_.find(snapshot_id);
    if (found != incomplete_.end())
        return found->second;
    if (insertion_order_.size() >= max_incomplete)
        remove_parts(insertion_order_.front());
    insertion_order_.push_back(snapshot_id);
    return incomplete_[snapshot_id];
}

void snapshot_assembler::remove_parts(std::uint64_t snapshot_id)
{
    incomplete_.erase(snapshot_id);
    insertion_order_.erase(std::remove(insertion_order_.begin(),
                                       insertion_order_.end(), snapshot_id),
                           insertion_order_.end());
}

} // namespace cyclamenrun
