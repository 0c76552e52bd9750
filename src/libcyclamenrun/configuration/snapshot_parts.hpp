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

/** Log records that hold the snapshot, each of about `part_bytes` at most. */
std::vector<std::string> snapshot_records(const v1::SnapshotRecord& snapshot,
                                          std::uint64_t snapshot_id,
                                          std::size_t part_bytes);

/**
 * Puts snapshots together from their parts, which may be interleaved with
 * those of another writer. Of unfinished ones, the oldest is dropped.
 */
class snapshot_assembler
{
public:
    /** The whole snapshot, when this was its last missing part. */
    std::optional<v1::SnapshotRecord> add(const v1::SnapshotRecord& part);

    static constexpr std::size_t max_unfinished = 4;
    static constexpr std::uint32_t max_parts = 256;

private:
    using parts = std::map<std::uint32_t, v1::SnapshotRecord>;

    parts& parts_of(std::uint64_t snapshot_id);
    void forget(std::uint64_t snapshot_id);

    std::map<std::uint64_t, parts> unfinished_;
    std::deque<std::uint64_t> order_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SNAPSHOT_PARTS_HPP
