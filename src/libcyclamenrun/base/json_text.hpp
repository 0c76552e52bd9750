#ifndef CYCLAMENRUN_JSON_TEXT_HPP
#define CYCLAMENRUN_JSON_TEXT_HPP

#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Quoted and escaped as a JSON string. Bytes that are not UTF-8 become
 * U+FFFD, so that the result is valid whatever a caller sent.
 */
std::string json_quoted(std::string_view text);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_JSON_TEXT_HPP
