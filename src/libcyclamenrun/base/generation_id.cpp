#include "generation_id.hpp"

#include <array>
#include <charconv>

namespace cyclamenrun
{

namespace
{

constexpr char separator = ':';
constexpr std::size_t max_upstream_bytes = 64;

/**
 * Parses the number up to the next separator or the end, and removes the number
 * and the separator from `text`.
 */
std::optional<std::uint64_t> parse_number(std::string_view& text, int base)
{
    const auto field = text.substr(0, text.find(separator));
    std::uint64_t number = 0;
    const auto* end = field.data() + field.size();
    const auto read = std::from_chars(field.data(), end, number, base);
    if (read.ec != std::errc{} || read.ptr != end || field.empty())
        return std::nullopt;
    text.remove_prefix(std::min(text.size(), field.size() + 1));
    return number;
}

} // namespace

std::string hex_of(std::uint64_t number)
{
    std::array<char, 16> digits{};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, 16);
    return {digits.data(), end.ptr};
}

std::string to_string(const generation_id& id)
{
    return id.upstream + separator + hex_of(id.incarnation) + separator +
           std::to_string(id.sequence) + separator + hex_of(id.secret);
}

std::string to_string(const stream_position& position)
{
    return to_string(position.generation) + separator +
           std::to_string(position.index);
}

std::optional<stream_position> parse_stream_position(std::string_view text)
{
    const auto upstream = text.substr(0, text.find(separator));
    if (upstream.empty() || upstream.size() > max_upstream_bytes ||
        upstream.size() == text.size() || text.back() == separator)
        return std::nullopt;
    text.remove_prefix(upstream.size() + 1);

    const auto incarnation = parse_number(text, 16);
    const auto sequence = parse_number(text, 10);
    const auto secret = parse_number(text, 16);
    const auto index = parse_number(text, 10);
    if (!incarnation || !sequence || !secret || !index || !text.empty())
        return std::nullopt;
    return stream_position{
        {std::string(upstream), *incarnation, *sequence, *secret}, *index};
}

} // namespace cyclamenrun
