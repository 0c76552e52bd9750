#ifndef CYCLAMENRUN_SNAPSHOT_SCHEDULE_HPP
#define CYCLAMENRUN_SNAPSHOT_SCHEDULE_HPP

#include "clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Conditions under which a new snapshot is due. */
struct snapshot_settings {
    std::uint64_t max_records = 1000;        ///< since the last snapshot
    milliseconds max_age{6UL * 3600000};     ///< well below the log's retention
    milliseconds unknown_age_delay{600'000}; ///< max_age if the age is unknown
    milliseconds stagger{30'000};            ///< delay per rank of an entry
};

/**
 * Decides when an entry writes the next snapshot. Rendezvous hashing ranks the
 * live entries; the entry of rank 0 writes first, and each following rank
 * writes one stagger later if no snapshot has appeared. Several writers do no
 * harm, since a snapshot only repeats what the records before it contain.
 */
class snapshot_schedule
{
public:
    snapshot_schedule(std::string entry, snapshot_settings settings,
                      time_point now);

    /**
     * Sets the end of the log as this process first saw it. The age of
     * snapshots before this offset is unknown.
     */
    void set_initial_log_end(std::uint64_t end) { initial_log_end_ = end; }

    /**
     * Records a complete snapshot that was read from the log. Its last part is
     * at `offset`, and it covers all records before `next_offset`.
     */
    void on_snapshot(std::uint64_t next_offset, std::uint64_t offset,
                     time_point now);

    /**
     * Updates the live entries from the platform's list. This entry counts as
     * live even if the list omits it.
     */
    void on_entries(std::vector<std::string> entries);

    /** Returns whether to write a snapshot of `revision` now. */
    bool is_due(std::uint64_t revision, std::uint64_t first_retained,
                time_point now);

    /**
     * Records an attempt to write. The next one is due one stagger later at
     * the earliest, so that the snapshot can be read back first.
     */
    void on_write_attempt(time_point now);

    /** Returns how many live entries write before this one. */
    std::size_t rank() const;

private:
    bool is_needed(std::uint64_t revision, std::uint64_t first_retained,
                   time_point now) const;

    std::string entry_;
    snapshot_settings settings_;
    std::vector<std::string> entries_;
    bool snapshot_seen_ = false;
    std::uint64_t initial_log_end_ = 0;
    std::uint64_t snapshot_offset_ = 0;
    std::uint64_t snapshot_next_offset_ = 0;
    time_point refresh_at_;
    time_point needed_since_ = time_point::max();
    time_point earliest_write_at_ = time_point::min();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SNAPSHOT_SCHEDULE_HPP
