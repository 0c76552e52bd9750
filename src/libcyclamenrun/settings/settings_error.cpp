#include "settings_error.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 7> names{
    "cannot be read", "not valid TOML", "unknown key",   "wrong type",
    "not allowed",    "must be given",  "contradictory",
};

} // namespace

std::string_view name_of(settings_problem problem)
{
    return names.at(static_cast<std::size_t>(problem));
}

std::string to_string(const settings_error& error)
{
    std::string text = error.file;
    if (error.line != 0)
        text += ':' + std::to_string(error.line);
    if (!error.key.empty())
        text += ": " + error.key;
    text += ": ";
    text += name_of(error.problem);
    if (!error.detail.empty())
        text += ": " + error.detail;
    return text;
}

} // namespace cyclamenrun
