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

/** Why an answer of a monitor about the directory can't be used. */
enum class answer_problem : std::uint8_t {
    unavailable,  ///< It does not reach the directory.
    history_gone, ///< It does not know the records that were asked for.
    leaving,      ///< Its VM leaves.
    malformed,    ///< It is no answer.
};

std::string_view name_of(answer_problem problem);

v1::DirectoryAnswer answer_of(const directory_page<upstream_change>& page);
v1::DirectoryAnswer answer_of(const directory_page<configuration_text>& page);
v1::DirectoryAnswer answer_of(directory_problem problem);
/** The same as bytes. */
std::string page_bytes(const directory_page<upstream_change>& page);
std::string page_bytes(const directory_page<configuration_text>& page);
std::string refusal_bytes(directory_problem problem);

/** Whatever a peer sends, what is read can be taken. */
tl::expected<directory_page<upstream_change>, answer_problem>
read_upstreams(const v1::DirectoryAnswer& answer);

using configuration_reader =
    std::function<std::optional<gateway_configuration>(std::string_view)>;

/** Configurations that can't be read are told as such. */
tl::expected<directory_page<gateway_configuration>, answer_problem>
read_configurations(const v1::DirectoryAnswer& answer,
                    const configuration_reader& read);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_MESSAGES_HPP
