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

/** How a reader stands to the log. */
enum class tail_state : std::uint8_t {
    following, ///< each next record is still there to be read
    behind_gap ///< records are gone unread: a snapshot is looked for
};

std::string_view name_of(tail_state state);

/**
 * Decides what to read next and takes what came. A record that is gone
 * before it was read is never passed over: the configuration stays as it is
 * until a snapshot is found that contains the record and after which nothing
 * is missing.
 */
class log_tail_cursor
{
public:
    /** A whole snapshot was read, whose last part is at `offset`. */
    using snapshot_hook =
        std::function<void(std::uint64_t next_offset, std::uint64_t offset)>;

    explicit log_tail_cursor(configuration_store& store);

    void on_snapshot(snapshot_hook hook) { snapshot_hook_ = std::move(hook); }

    /** The offset to read from. */
    std::uint64_t next() const;
    void take(const log_page& page);
    void take(const log_error& error);

    tail_state state() const { return state_; }
    std::uint64_t first_retained() const { return first_retained_; }
    /** The end of the log as last seen. */
    std::uint64_t end() const { return end_; }
    std::uint64_t gaps() const { return gaps_; }
    std::uint64_t broken_pages() const { return broken_pages_; }

private:
    void note_first_retained(std::uint64_t first_retained);
    void scan(const log_page& page);
    void follow(const log_page& page);
    void look_for_snapshot(const log_entry& record);

    configuration_store& store_;
    snapshot_hook snapshot_hook_;
    snapshot_assembler assembler_;
    tail_state state_ = tail_state::following;
    std::uint64_t scan_from_ = 0;
    std::uint64_t first_retained_ = 0;
    std::uint64_t end_ = 0;
    std::uint64_t gaps_ = 0;
    std::uint64_t broken_pages_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_TAIL_CURSOR_HPP
