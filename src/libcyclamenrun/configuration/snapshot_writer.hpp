#ifndef CYCLAMENRUN_SNAPSHOT_WRITER_HPP
#define CYCLAMENRUN_SNAPSHOT_WRITER_HPP

#include "snapshot_schedule.hpp"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenrun
{

class configuration_store;
class log_tail_cursor;
class platform_log;

/** Writes an entry's snapshots of the configuration to the log. */
class snapshot_writer
{
public:
    /** Returns a new snapshot id, unique among all entries. */
    using id_function = std::function<std::uint64_t()>;

    snapshot_writer(platform_log& log, const configuration_store& store,
                    std::string entry, snapshot_settings settings,
                    id_function generate_id, time_point now);

    /** Updates the live entries from the platform's list. Thread-safe. */
    void on_entries(std::vector<std::string> entries);

    /** Called by the log_tailer; see snapshot_schedule. */
    void set_initial_log_end(std::uint64_t end);
    void on_snapshot(std::uint64_t next_offset, std::uint64_t offset,
                     time_point now);

    /**
     * Writes a snapshot if one is due. Returns true if all its parts were
     * appended.
     */
    bool poll(const log_tail_cursor& cursor, time_point now);

    /**
     * Maximum total size of the items in one record of a snapshot, unless a
     * single item is larger. Below the log's limit on a record.
     */
    static constexpr std::size_t part_bytes = 48UL * 1024;

private:
    bool write();

    platform_log& log_;
    const configuration_store& store_;
    id_function generate_id_;
    std::mutex mutex_;
    snapshot_schedule schedule_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SNAPSHOT_WRITER_HPP
