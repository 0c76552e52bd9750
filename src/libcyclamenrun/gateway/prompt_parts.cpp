#include "prompt_parts.hpp"

namespace cyclamenrun
{

namespace
{

/** Bounds the length of a log line. */
constexpr std::size_t max_logged_parts = 16;

} // namespace

std::string prompt_parts_text(const std::vector<prompt_part>& parts)
{
    std::string text;
    for (std::size_t i = 0; i < parts.size() && i < max_logged_parts; ++i) {
        text += i == 0 ? "" : " ";
        text += parts[i].id;
    }
    if (parts.size() > max_logged_parts)
        text +=
            " and " + std::to_string(parts.size() - max_logged_parts) + " more";
    return text;
}

} // namespace cyclamenrun
