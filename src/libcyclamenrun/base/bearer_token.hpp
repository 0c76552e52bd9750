#ifndef CYCLAMENRUN_BEARER_TOKEN_HPP
#define CYCLAMENRUN_BEARER_TOKEN_HPP

#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** Longer keys are refused unhashed. */
inline constexpr std::size_t longest_bearer_token = 256;

/**
 * The key in the value of an `Authorization: Bearer KEY` header; empty when
 * there is none, or one with characters that no key has. A view of `value`.
 */
std::optional<std::string_view> parse_bearer_token(std::string_view value);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_BEARER_TOKEN_HPP
