#ifndef CYCLAMENRUN_JSON_TEXT_HPP
#define CYCLAMENRUN_JSON_TEXT_HPP

#include <set>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Returns `text` as a quoted and escaped JSON string. Bytes that are not valid
 * UTF-8 are replaced with U+FFFD, so that the result is always valid JSON.
 */
std::string json_quoted(std::string_view text);

/** Returns the texts as a JSON list of such strings. */
std::string json_list(const std::set<std::string>& texts);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_JSON_TEXT_HPP
