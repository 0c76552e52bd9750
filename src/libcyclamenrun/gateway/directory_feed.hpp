#ifndef CYCLAMENRUN_DIRECTORY_FEED_HPP
#define CYCLAMENRUN_DIRECTORY_FEED_HPP

#include "boot_clock.hpp"
#include "clock.hpp"
#include "gateway_configuration.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace cyclamenrun
{

enum class directory_problem : std::uint8_t {
    unavailable,  ///< No answer, or the service turned the call away.
    history_gone, ///< The records asked for are no longer kept.
    leaving,      ///< Who was asked to read it leaves.
};

std::string_view name_of(directory_problem problem);

/** Records of a feed in their order, and where the next ones begin. */
template <typename Item>
struct directory_page {
    std::vector<Item> items;
    std::uint64_t next_offset = 0;
    /** Offset of each item; empty if they are the newest of each key. */
    std::vector<std::uint64_t> offsets = {};
    /** Keys of records that were skipped: no item could be read from them. */
    std::vector<std::string> unreadable = {};
    /**
     * When the call was sent that brought it, if another than the one that it
     * answers: all that the directory held then is in it or was known before.
     */
    std::optional<boot_time> asked = {};
    /** Another process reads for many and paces them: ask it again at once. */
    bool relayed = false;
};

/** A configuration as the directory holds it. */
struct configuration_text {
    std::string text;
};

/** Reads one feed of the platform's directory; one call at a time. */
template <typename Item>
class directory_feed
{
public:
    using answered = std::function<void(
        tl::expected<directory_page<Item>, directory_problem>)>;
    /** Items of the first pages, with more to come; false: read no further,
     * and there will be no answer. */
    using page_read = std::function<bool(const std::vector<Item>& so_far)>;

    directory_feed() = default;
    directory_feed(const directory_feed&) = delete;
    directory_feed& operator=(const directory_feed&) = delete;
    virtual ~directory_feed() = default;

    /**
     * The newest record of each key; what is not in it does not exist. A long
     * answer comes in pages, each of which has as much time as the first.
     */
    virtual void read_newest(time_point deadline, answered on_answer,
                             page_read on_page = {}) = 0;
    /**
     * Records from an offset on; waits up to `wait` for the first. Records
     * that can't be understood are left out but counted in the offset.
     */
    virtual void read_from(std::uint64_t offset, milliseconds wait,
                           time_point deadline, answered on_answer) = 0;
};

using configuration_feed = directory_feed<gateway_configuration>;
using configuration_text_feed = directory_feed<configuration_text>;
using upstream_feed = directory_feed<upstream_change>;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_FEED_HPP
