#ifndef CYCLAMENRUN_DIRECTORY_MESSAGES_HPP
#define CYCLAMENRUN_DIRECTORY_MESSAGES_HPP

#include "directory_feed.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun::v1
{
class DirectoryAnswer;
} // namespace cyclamenrun::v1

namespace cyclamenrun
{

/** Why a monitor's answer to a directory call can't be used. */
enum class answer_problem : std::uint8_t {
    unavailable,  ///< The monitor does not reach the directory.
    history_gone, ///< The monitor does not have the requested records.
    leaving,      ///< The monitor's VM is leaving.
    malformed,    ///< The answer can't be parsed.
};

std::string_view name_of(answer_problem problem);

/** Encodes a page or the failure of a read as a monitor's answer. */
v1::DirectoryAnswer answer_of(const directory_page<upstream_change>& page);
v1::DirectoryAnswer
answer_of(const directory_page<configuration_text_record>& page);
v1::DirectoryAnswer answer_of(directory_problem problem);
/** The same answers in serialized form. */
std::string page_bytes(const directory_page<upstream_change>& page);
std::string page_bytes(const directory_page<configuration_text_record>& page);
std::string refusal_bytes(directory_problem problem);

/** Validates the answer of a peer; an invalid one is `malformed`. */
tl::expected<directory_page<upstream_change>, answer_problem>
read_upstreams(const v1::DirectoryAnswer& answer);

/** Parses a configuration's text; returns nothing if it is invalid. */
using configuration_reader =
    std::function<std::optional<gateway_configuration>(std::string_view)>;

/**
 * Validates the answer as read_upstreams() does. For each configuration that
 * can't be parsed, `unreadable` gets an item.
 */
tl::expected<directory_page<configuration_record>, answer_problem>
read_configurations(const v1::DirectoryAnswer& answer,
                    const configuration_reader& read);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_MESSAGES_HPP
