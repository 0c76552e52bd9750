#include "log_tail_cursor.hpp"

#include "configuration_store.hpp"
#include "message_reader.hpp"

#include <algorithm>
#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 2> state_names{"following",
                                                      "behind_gap"};

} // namespace

std::string_view name_of(tail_state state)
{
    return state_names.at(static_cast<std::size_t>(state));
}

log_tail_cursor::log_tail_cursor(configuration_store& store) : store_(store) {}

std::uint64_t log_tail_cursor::next() const
{
    return state_ == tail_state::following ? store_.revision() : scan_offset_;
}

void log_tail_cursor::handle(const log_page& page)
{
    end_ = page.next;
    update_first_retained(page.first_retained);
    if (state_ == tail_state::behind_gap)
        scan_for_snapshot(page);
    else
        apply_page(page);
}

void log_tail_cursor::handle(const log_error& error)
{
    if (error.failure == log_failure::retained_away)
        update_first_retained(error.first_retained);
}

void log_tail_cursor::update_first_retained(std::uint64_t first_retained)
{
    first_retained_ = std::max(first_retained_, first_retained);
    if (first_retained_ <= store_.revision()) {
        // Also ends a gap after the store was restored from a peer's state.
        state_ = tail_state::following;
        return;
    }
    // Records expired before this reader read them, and changes reported as
    // accepted may be among them. Continuing after the gap would lose those
    // changes in this process only.
    if (state_ == tail_state::following) {
        state_ = tail_state::behind_gap;
        scan_offset_ = first_retained_;
        ++gaps_;
    }
    scan_offset_ = std::max(scan_offset_, first_retained_);
}

void log_tail_cursor::scan_for_snapshot(const log_page& page)
{
    for (const auto& record : page.records) {
        if (record.offset < scan_offset_)
            continue;
        add_snapshot_part(record);
        scan_offset_ = record.offset + 1;
        if (state_ == tail_state::following)
            return;
    }
}

void log_tail_cursor::apply_page(const log_page& page)
{
    const std::uint64_t before = store_.revision();
    if (!store_.apply(page.records))
        ++incomplete_pages_;
    for (const auto& record : page.records) {
        if (record.offset >= before && record.offset < store_.revision())
            add_snapshot_part(record);
    }
    if (store_.revision() >= page.next)
        store_.set_ready();
}

void log_tail_cursor::add_snapshot_part(const platform_log_record& record)
{
    v1::LogRecord parsed;
    if (!read_checked(record.data, parsed) || !parsed.has_snapshot() ||
        parsed.schema() != configuration_state::schema)
        return;
    const auto complete_snapshot = assembler_.add(parsed.snapshot());
    if (!complete_snapshot)
        return;
    if (snapshot_hook_)
        snapshot_hook_(complete_snapshot->next_offset(), record.offset);
    const bool closes_gap =
        complete_snapshot->next_offset() >= first_retained_ &&
        complete_snapshot->next_offset() <= record.offset;
    if (state_ == tail_state::behind_gap && closes_gap &&
        store_.restore(*complete_snapshot))
        state_ = tail_state::following;
}

} // namespace cyclamenrun
