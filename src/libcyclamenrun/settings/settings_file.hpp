#ifndef CYCLAMENRUN_SETTINGS_FILE_HPP
#define CYCLAMENRUN_SETTINGS_FILE_HPP

#include "settings_error.hpp"

#include <string>

namespace cyclamenrun
{

/** Larger files are rejected, since a mistyped path may name any file. */
inline constexpr std::size_t max_settings_file_bytes = 1U << 20U;

/** Returns the file's bytes. The only error is `unreadable`. */
settings_outcome<std::string> read_settings_file(const std::string& path);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_FILE_HPP
