#ifndef CYCLAMENRUN_SETTINGS_READER_HPP
#define CYCLAMENRUN_SETTINGS_READER_HPP

#include "settings_error.hpp"
#include "settings_row.hpp"

#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Parses TOML text into the targets of a table. Returns all errors; if there
 * are any, the targets must not be used. `file` is named in messages.
 */
settings_errors read_settings(const settings_table& table,
                              std::string_view text, const std::string& file);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_READER_HPP
