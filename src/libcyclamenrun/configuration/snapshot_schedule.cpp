#include "snapshot_schedule.hpp"

#include "digest.hpp"

#include <algorithm>

namespace cyclamenrun
{

snapshot_schedule::snapshot_schedule(std::string entry,
                                     snapshot_settings settings, time_point now)
    : entry_(std::move(entry)), settings_(settings),
      refresh_at_(now + settings.unknown_age_delay)
{
}

void snapshot_schedule::on_snapshot(std::uint64_t next_offset,
                                    std::uint64_t offset, time_point now)
{
    if (snapshot_seen_ && next_offset <= snapshot_next_offset_)
        return;
    // A snapshot written before this process started may be close to the end
    // of its retention. If entries are replaced more often than snapshots are
    // due, no entry would otherwise run long enough to see it reach max_age.
    const bool fresh = offset >= initial_log_end_;
    refresh_at_ =
        now + (fresh ? settings_.max_age : settings_.unknown_age_delay);
    snapshot_seen_ = true;
    snapshot_offset_ = offset;
    snapshot_next_offset_ = next_offset;
    needed_since_ = time_point::max();
}

void snapshot_schedule::on_entries(std::vector<std::string> entries)
{
    entries_ = std::move(entries);
}

bool snapshot_schedule::is_due(std::uint64_t revision,
                               std::uint64_t first_retained, time_point now)
{
    if (!is_needed(revision, first_retained, now)) {
        needed_since_ = time_point::max();
        return false;
    }
    if (needed_since_ == time_point::max())
        needed_since_ = now;
    const auto due_at = needed_since_ + settings_.stagger * rank();
    return now >= due_at && now >= earliest_write_at_;
}

bool snapshot_schedule::is_needed(std::uint64_t revision,
                                  std::uint64_t first_retained,
                                  time_point now) const
{
    if (revision == 0)
        return false;
    if (!snapshot_seen_)
        return first_retained > 0 || revision >= settings_.max_records ||
               now >= refresh_at_;
    // A new reader needs the snapshot and all records from its next_offset on.
    if (snapshot_next_offset_ < first_retained)
        return true;
    return now >= refresh_at_ ||
           revision >= snapshot_next_offset_ + settings_.max_records;
}

void snapshot_schedule::on_write_attempt(time_point now)
{
    earliest_write_at_ = now + settings_.stagger;
}

std::size_t snapshot_schedule::rank() const
{
    const std::uint64_t own = hash64(entry_, snapshot_offset_);
    std::size_t before = 0;
    for (const auto& other : entries_) {
        if (other != entry_ && hash64(other, snapshot_offset_) > own)
            ++before;
    }
    return before;
}

} // namespace cyclamenrun
