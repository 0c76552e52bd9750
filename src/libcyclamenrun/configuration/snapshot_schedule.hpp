#ifndef CYCLAMENRUN_SNAPSHOT_SCHEDULE_HPP
#define CYCLAMENRUN_SNAPSHOT_SCHEDULE_HPP

#include "clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** When a snapshot is written again. */
struct snapshot_settings {
    std::uint64_t max_records = 1000;    ///< behind the last snapshot
    milliseconds max_age{6UL * 3600000}; ///< well under the retention
    milliseconds first_after{600'000};   ///< for one of unknown age
    milliseconds stagger{30'000};        ///< between writer and stand-by
};

/**
 * Tells an entry when it is to write the next snapshot. The writer comes of
 * a ranking by rendezvous hash over the live entries; the next in rank steps
 * in when the writer does not come forward. Nothing depends on there being
 * just one: a snapshot says only what the records before it say.
 */
class snapshot_schedule
{
public:
    snapshot_schedule(std::string entry, snapshot_settings settings,
                      time_point now);

    /**
     * The end of the log when this process first saw it: how long ago the
     * snapshots before it were written isn't known.
     */
    void on_first_end(std::uint64_t end) { first_end_ = end; }

    /** A whole snapshot was read, whose last part is at `offset`. */
    void on_snapshot(std::uint64_t next_offset, std::uint64_t offset,
                     time_point now);

    /** Live entries as the platform lists them; own id counts as live. */
    void on_entries(std::vector<std::string> entries);

    /** Whether to write now, as of `revision`. */
    bool is_due(std::uint64_t revision, std::uint64_t first_retained,
                time_point now);

    /** A write was tried: leaves it time to be read back. */
    void on_written(time_point now);

    /** 0 writes first; counts by the entries before this one. */
    std::size_t rank() const;

private:
    bool is_wanted(std::uint64_t revision, std::uint64_t first_retained,
                   time_point now) const;

    std::string entry_;
    snapshot_settings settings_;
    std::vector<std::string> entries_;
    bool seen_ = false;
    std::uint64_t first_end_ = 0;
    std::uint64_t snapshot_offset_ = 0;
    std::uint64_t snapshot_next_offset_ = 0;
    time_point refresh_at_;
    time_point wanted_since_ = time_point::max();
    time_point not_before_ = time_point::min();
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SNAPSHOT_SCHEDULE_HPP
