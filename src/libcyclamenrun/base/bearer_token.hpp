#ifndef CYCLAMENRUN_BEARER_TOKEN_HPP
#define CYCLAMENRUN_BEARER_TOKEN_HPP

#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** Longer keys are rejected without being hashed. */
inline constexpr std::size_t max_bearer_token_bytes = 256;

/**
 * Returns the key in the value of an `Authorization: Bearer KEY` header, as a
 * view of `value`. Returns nothing if there is no key or if it contains a
 * character that is not valid in a key.
 */
std::optional<std::string_view> parse_bearer_token(std::string_view value);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_BEARER_TOKEN_HPP
