#include "http_head.hpp"

#include <algorithm>
#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length",
};

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

} // namespace

bool same_field_name(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

std::optional<std::string_view> http_head::find(std::string_view name) const
{
    for (const auto& field : fields) {
        if (same_field_name(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

http_framing http_head::body_framing() const
{
    if (chunked)
        return http_framing::chunked;
    return ends_with_connection ? http_framing::connection
                                : http_framing::length;
}

std::size_t http_head::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(fields.begin(), fields.end(), [&](const auto& field) {
            return same_field_name(field.name, name);
        }));
}

bool has_list_word(std::string_view list, std::string_view word)
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (same_field_name(trimmed(list.substr(0, comma)), word))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

bool is_hop_by_hop(std::string_view name)
{
    return std::any_of(hop_by_hop.begin(), hop_by_hop.end(), [&](auto known) {
        return same_field_name(known, name);
    });
}

} // namespace cyclamenrun
