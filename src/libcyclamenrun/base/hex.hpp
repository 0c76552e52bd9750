#ifndef CYCLAMENRUN_HEX_HPP
#define CYCLAMENRUN_HEX_HPP

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Formats each byte as two lower-case digits. */
std::string to_hex(std::string_view bytes);

/**
 * Parses hexadecimal digits of either case. Returns nothing if their number is
 * odd or if there is any other character.
 */
std::optional<std::string> from_hex(std::string_view digits);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HEX_HPP
