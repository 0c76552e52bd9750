#ifndef CYCLAMENRUN_SETTINGS_FILE_HPP
#define CYCLAMENRUN_SETTINGS_FILE_HPP

#include "settings_error.hpp"

#include <string>

namespace cyclamenrun
{

/** Larger files are refused unread: a wrong path may name anything. */
inline constexpr std::size_t largest_settings_file = 1U << 20U;

/** The file's bytes; the one error there can be is `unreadable`. */
settings_outcome<std::string> read_settings_file(const std::string& path);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_FILE_HPP
