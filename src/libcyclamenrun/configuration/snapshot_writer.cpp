#include "snapshot_writer.hpp"

#include "configuration_store.hpp"
#include "log_tail_cursor.hpp"
#include "platform_log.hpp"
#include "snapshot_parts.hpp"

namespace cyclamenrun
{

snapshot_writer::snapshot_writer(platform_log& log,
                                 const configuration_store& store,
                                 std::string entry, snapshot_settings settings,
                                 id_function generate_id, time_point now)
    : log_(log), store_(store), generate_id_(std::move(generate_id)),
      schedule_(std::move(entry), settings, now)
{
}

void snapshot_writer::on_entries(std::vector<std::string> entries)
{
    const std::lock_guard lock(mutex_);
    schedule_.on_entries(std::move(entries));
}

void snapshot_writer::set_initial_log_end(std::uint64_t end)
{
    const std::lock_guard lock(mutex_);
    schedule_.set_initial_log_end(end);
}

void snapshot_writer::on_snapshot(std::uint64_t next_offset,
                                  std::uint64_t offset, time_point now)
{
    const std::lock_guard lock(mutex_);
    schedule_.on_snapshot(next_offset, offset, now);
}

bool snapshot_writer::poll(const log_tail_cursor& cursor, time_point now)
{
    // Behind a gap the state lacks records, so its snapshot is of no use.
    if (cursor.state() != tail_state::following || !store_.ready())
        return false;
    {
        const std::lock_guard lock(mutex_);
        if (!schedule_.is_due(store_.revision(), cursor.first_retained(), now))
            return false;
        schedule_.on_write_attempt(now);
    }
    return write();
}

bool snapshot_writer::write()
{
    const auto records =
        snapshot_records(store_.snapshot(), generate_id_(), part_bytes);
    for (const auto& record : records) {
        // Readers ignore a snapshot with a missing part. Since this one is
        // never read back, the schedule makes another one due later.
        if (!log_.append(record))
            return false;
    }
    return true;
}

} // namespace cyclamenrun
