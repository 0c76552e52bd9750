#ifndef CYCLAMENRUN_DIRECTORY_FEED_HPP
#define CYCLAMENRUN_DIRECTORY_FEED_HPP

#include "boot_clock.hpp"
#include "clock.hpp"
#include "evacuated_domains.hpp"
#include "gateway_configuration.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace cyclamenrun
{

/** Why a read of a directory feed failed. */
enum class directory_problem : std::uint8_t {
    unavailable,  ///< No answer, or the directory refused the call.
    history_gone, ///< The requested records have been deleted.
    leaving,      ///< The VM of the monitor that got the call is leaving.
};

std::string_view name_of(directory_problem problem);

/** Consecutive records of a feed, and the offset of the next record. */
template <typename Item>
struct directory_page {
    std::vector<Item> items;
    std::uint64_t next_offset = 0;
    /**
     * Offset of each item; empty in a page of the newest records or from a
     * relay, which is a monitor that reads the directory for gateways.
     */
    std::vector<std::uint64_t> offsets = {};
    /** Keys of records that were skipped because they can't be parsed. */
    std::vector<std::string> unreadable = {};
    /**
     * When the call that returned this page was sent. Set if one read may take
     * several calls, such as to a second relay; otherwise the start of the
     * read counts. Unless it is partial, this page and those before it hold
     * every record that the directory had at that time.
     */
    std::optional<boot_time> sent_at = {};
    /**
     * True if a relay read this page. A relay limits the rate of its reads, so
     * the next call may follow at once.
     */
    bool relayed = false;
    /**
     * True if the directory held later records than these, or may have: the
     * page is full, or the relay that read it does not say.
     */
    bool partial = false;
};

/** An unparsed configuration, as the directory stores it. */
struct configuration_text {
    std::string text;
};

/**
 * One record of the configuration feed. Evacuations are in the same feed, so
 * that gateways learn of them by the reads that renew their lease.
 */
using configuration_record =
    std::variant<gateway_configuration, evacuation_change>;
/** The same as a monitor relays it, which reads no configuration. */
using configuration_text_record =
    std::variant<configuration_text, evacuation_change>;

/** Reads one feed of the platform's directory; one call at a time. */
template <typename Item>
class directory_feed
{
public:
    using answer_handler = std::function<void(
        tl::expected<directory_page<Item>, directory_problem>)>;
    /**
     * Called with the items read so far while more pages follow. Returning
     * false ends the read, and `on_answer` is not called.
     */
    using page_handler = std::function<bool(const std::vector<Item>& so_far)>;

    directory_feed() = default;
    directory_feed(const directory_feed&) = delete;
    directory_feed& operator=(const directory_feed&) = delete;
    virtual ~directory_feed() = default;

    /**
     * Reads the newest record of each key; a key without a record does not
     * exist. A long answer comes in pages, and each page has as much time as
     * the first.
     */
    virtual void read_newest(time_point deadline, answer_handler on_answer,
                             page_handler on_page = {}) = 0;
    /**
     * Reads the records from an offset on, waiting up to `wait` for the first
     * one. Records that can't be parsed are left out but counted in the offset;
     * an upstream whose record can't be parsed is reported as removed.
     */
    virtual void read_from(std::uint64_t offset, milliseconds wait,
                           time_point deadline, answer_handler on_answer) = 0;
};

using configuration_feed = directory_feed<configuration_record>;
using configuration_text_feed = directory_feed<configuration_text_record>;
using upstream_feed = directory_feed<upstream_change>;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_FEED_HPP
