#ifndef CYCLAMENRUN_LOG_TAIL_CURSOR_HPP
#define CYCLAMENRUN_LOG_TAIL_CURSOR_HPP

#include "platform_log.hpp"
#include "snapshot_parts.hpp"

#include <cstdint>
#include <functional>
#include <string_view>

namespace cyclamenrun
{

class configuration_store;

/** Whether a reader of the log has missed records. */
enum class tail_state : std::uint8_t {
    following, ///< the next record to read is still retained
    behind_gap ///< unread records expired; a snapshot is needed
};

std::string_view name_of(tail_state state);

/**
 * Tracks a reader's position in the log and applies the pages it reads. Never
 * skips a record that expired unread: the configuration remains unchanged
 * until a snapshot is found that covers the record and after which no record
 * is missing.
 */
class log_tail_cursor
{
public:
    /**
     * Called when the last part of a snapshot, at `offset`, has been read. The
     * snapshot covers all records before `next_offset`.
     */
    using snapshot_hook =
        std::function<void(std::uint64_t next_offset, std::uint64_t offset)>;

    explicit log_tail_cursor(configuration_store& store);

    void on_snapshot(snapshot_hook hook) { snapshot_hook_ = std::move(hook); }

    /** Returns the offset to read from. */
    std::uint64_t next() const;
    void handle(const log_page& page);
    void handle(const log_error& error);

    tail_state state() const { return state_; }
    std::uint64_t first_retained() const { return first_retained_; }
    /** Returns the end of the log as of the last page. */
    std::uint64_t end() const { return end_; }
    /** Returns how often unread records expired. */
    std::uint64_t gaps() const { return gaps_; }
    /** Returns the number of pages in which a record was missing. */
    std::uint64_t incomplete_pages() const { return incomplete_pages_; }

private:
    void update_first_retained(std::uint64_t first_retained);
    void scan_for_snapshot(const log_page& page);
    void apply_page(const log_page& page);
    void add_snapshot_part(const platform_log_record& record);

    configuration_store& store_;
    snapshot_hook snapshot_hook_;
    snapshot_assembler assembler_;
    tail_state state_ = tail_state::following;
    std::uint64_t scan_offset_ = 0; ///< next offset to scan for a snapshot
    std::uint64_t first_retained_ = 0;
    std::uint64_t end_ = 0;
    std::uint64_t gaps_ = 0;
    std::uint64_t incomplete_pages_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_TAIL_CURSOR_HPP
