#ifndef CYCLAMENRUN_JSON_TEXT_HPP
#define CYCLAMENRUN_JSON_TEXT_HPP

#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Returns `text` as a quoted and escaped JSON string. Bytes that are not valid
 * UTF-8 are replaced with U+FFFD, so that the result is always valid JSON.
 */
std::string json_quoted(std::string_view text);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_JSON_TEXT_HPP
