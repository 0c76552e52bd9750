#ifndef CYCLAMENRUN_HEX_HPP
#define CYCLAMENRUN_HEX_HPP

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Two lower-case digits for each byte. */
std::string to_hex(std::string_view bytes);

/** Empty for an odd number of digits or anything that is not a digit. */
std::optional<std::string> from_hex(std::string_view digits);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HEX_HPP
