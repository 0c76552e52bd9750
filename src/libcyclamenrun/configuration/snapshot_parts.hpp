#ifndef CYCLAMENRUN_SNAPSHOT_PARTS_HPP
#define CYCLAMENRUN_SNAPSHOT_PARTS_HPP

#include "config.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * Splits the snapshot into log records of about `part_bytes` at most. A single
 * larger item gets a record of its own. `snapshot_id` tells the parts of this
 * snapshot from those of others.
 */
std::vector<std::string> snapshot_records(const v1::SnapshotRecord& snapshot,
                                          std::uint64_t snapshot_id,
                                          std::size_t part_bytes);

/**
 * Assembles snapshots from their parts. Parts of several writers may be
 * interleaved. Drops the oldest incomplete snapshot when there are more than
 * max_incomplete.
 */
class snapshot_assembler
{
public:
    /** Adds a part; returns the snapshot if the part completes it. */
    std::optional<v1::SnapshotRecord> add(const v1::SnapshotRecord& part);

    static constexpr std::size_t max_incomplete = 4;
    /** A snapshot of more parts is ignored. */
    static constexpr std::uint32_t max_parts = 256;

private:
    using parts = std::map<std::uint32_t, v1::SnapshotRecord>;

    parts& parts_of(std::uint64_t snapshot_id);
    void remove_parts(std::uint64_t snapshot_id);

    std::map<std::uint64_t, parts> incomplete_;
    std::deque<std::uint64_t> insertion_order_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SNAPSHOT_PARTS_HPP
