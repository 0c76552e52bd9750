#include "hex.hpp"

namespace cyclamenrun
{

namespace
{

constexpr std::string_view digit_characters = "0123456789abcdef";

std::optional<unsigned> digit_value(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return std::nullopt;
}

} // namespace

std::string to_hex(std::string_view bytes)
{
    std::string digits;
    digits.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        digits += digit_characters[byte >> 4U];
        digits += digit_characters[byte & 15U];
    }
    return digits;
}

std::optional<std::string> from_hex(std::string_view digits)
{
    if (digits.size() % 2 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(digits.size() / 2);
    for (std::size_t at = 0; at < digits.size(); at += 2) {
        const auto high = digit_value(digits[at]);
        const auto low = digit_value(digits[at + 1]);
        if (!high || !low)
            return std::nullopt;
        bytes += static_cast<char>(*high << 4U | *low);
    }
    return bytes;
}

} // namespace cyclamenrun
