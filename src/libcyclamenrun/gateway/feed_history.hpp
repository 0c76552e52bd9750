#ifndef CYCLAMENRUN_FEED_HISTORY_HPP
#define CYCLAMENRUN_FEED_HISTORY_HPP

#include "directory_feed.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace cyclamenrun
{

/** Key and equality of the records of the upstream feed. */
struct upstream_record_traits {
    using item = upstream_change;
    static std::string key(const item& record) { return record.id; }
    static bool removes_key(const item& record) { return !record.record; }
    /** The removal of an unknown key changes nothing. */
    static constexpr bool keeps_unknown_removals = false;
    /** True if the later record is only a heartbeat. */
    static bool same(const item& left, const item& right)
    {
        return left.record == right.record &&
               (!left.record ||
                has_same_cold_time(*left.record, *right.record));
    }

private:
    /**
     * The same statement differs by the time that each record was on its way.
     * Other changes are passed on: an upstream became cold again.
     */
    static bool has_same_cold_time(const upstream_record& left,
                                   const upstream_record& right)
    {
        constexpr milliseconds time_on_way{2500};
        if (!left.cold_until || !right.cold_until)
            return left.cold_until.has_value() == right.cold_until.has_value();
        return std::chrono::abs(*left.cold_until - *right.cold_until) <=
               time_on_way;
    }
};

/** Key and equality of the records of the configuration feed. */
struct configuration_text_traits {
    using item = configuration_text_record;
    /**
     * One key for all configurations, since a newer version replaces the older
     * ones, and one for each evacuated failure domain.
     */
    static std::string key(const item& record)
    {
        const auto* evacuation = std::get_if<evacuation_change>(&record);
        return evacuation == nullptr ? std::string()
                                     : "domain " + evacuation->failure_domain;
    }
    static bool removes_key(const item& record)
    {
        const auto* evacuation = std::get_if<evacuation_change>(&record);
        return evacuation != nullptr && !evacuation->evacuated;
    }
    /**
     * The pages of the newest records may hold later evacuations than the
     * offset after them names. A record of these that is read again is still
     * news to a gateway that has read up to that offset.
     */
    static constexpr bool keeps_unknown_removals = true;
    static bool same(const item& left, const item& right)
    {
        const auto* first = std::get_if<configuration_text>(&left);
        const auto* second = std::get_if<configuration_text>(&right);
        return first != nullptr && second != nullptr &&
               first->text == second->text;
    }
};

/**
 * The newest record of each key of a feed and a bounded number of its latest
 * changes. Serves readers that know the feed up to some offset; the oldest
 * changes are dropped first.
 */
template <typename Traits>
class feed_history
{
public:
    using item = typename Traits::item;
    using page = directory_page<item>;

    explicit feed_history(std::size_t max_changes) : max_changes_(max_changes)
    {
    }

    /** False before the first restart() and after invalidate(). */
    bool known() const { return known_; }
    std::uint64_t next_offset() const { return next_offset_; }

    void invalidate() { known_ = false; }

    /** Restarts from the newest records; earlier changes are not known. */
    void restart(const page& newest)
    {
        newest_.clear();
        changes_.clear();
        for (const auto& record : newest.items)
            store_record(record);
        first_offset_ = next_offset_ = newest.next_offset;
        known_ = true;
    }

    /** Appends a page that begins at next_offset(). */
    void extend(const page& read)
    {
        for (std::size_t i = 0; i < read.items.size(); ++i) {
            if (store_record(read.items[i]))
                changes_.emplace_back(read.offsets.at(i), read.items[i]);
        }
        next_offset_ = std::max(next_offset_, read.next_offset);
        for (; changes_.size() > max_changes_; changes_.pop_front())
            first_offset_ = changes_.front().first + 1;
    }

    /** Changes from an offset on; empty if they are not all known. */
    std::optional<page> since(std::uint64_t from) const
    {
        if (!known_ || from < first_offset_ || from > next_offset_)
            return std::nullopt;
        page result;
        result.next_offset = next_offset_;
        for (const auto& [offset, record] : changes_) {
            if (offset < from)
                continue;
            result.items.push_back(record);
            result.offsets.push_back(offset);
        }
        return result;
    }

    page newest() const
    {
        page result;
        result.next_offset = next_offset_;
        for (const auto& [key, record] : newest_)
            result.items.push_back(record);
        return result;
    }

private:
    /** Returns false if the record changes nothing. */
    bool store_record(const item& record)
    {
        const auto key = Traits::key(record);
        const auto known = newest_.find(key);
        if (Traits::removes_key(record))
            return newest_.erase(key) > 0 || Traits::keeps_unknown_removals;
        if (known != newest_.end() && Traits::same(known->second, record))
            return false;
        newest_.insert_or_assign(key, record);
        return true;
    }

    std::size_t max_changes_;
    bool known_ = false;
    /** changes_ is complete from this offset on. */
    std::uint64_t first_offset_ = 0;
    std::uint64_t next_offset_ = 0;
    std::map<std::string, item> newest_;
    std::deque<std::pair<std::uint64_t, item>> changes_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_FEED_HISTORY_HPP
