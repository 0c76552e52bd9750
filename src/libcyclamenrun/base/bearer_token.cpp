#include "bearer_token.hpp"

#include <algorithm>
#include <cctype>

namespace cyclamenrun
{

namespace
{

constexpr std::string_view scheme = "bearer ";

bool equals_lower_case(char left, char right)
{
    return std::tolower(static_cast<unsigned char>(left)) == right;
}

bool is_token_character(unsigned char character)
{
    return character > 0x20 && character < 0x7f;
}

} // namespace

std::optional<std::string_view> parse_bearer_token(std::string_view value)
{
    if (value.size() <= scheme.size() ||
        value.size() > scheme.size() + max_bearer_token_bytes)
        return std::nullopt;
    // The scheme name is case-insensitive.
    if (!std::equal(scheme.begin(), scheme.end(), value.begin(),
                    [](char expected, char actual) {
                        return equals_lower_case(actual, expected);
                    }))
        return std::nullopt;
    const auto token = value.substr(scheme.size());
    if (!std::all_of(token.begin(), token.end(), is_token_character))
        return std::nullopt;
    return token;
}

} // namespace cyclamenrun
