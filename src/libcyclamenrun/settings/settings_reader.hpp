#ifndef CYCLAMENRUN_SETTINGS_READER_HPP
#define CYCLAMENRUN_SETTINGS_READER_HPP

#include "settings_error.hpp"
#include "settings_row.hpp"

#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Reads TOML into the targets of a table. Returns everything that is wrong;
 * unless that is empty the targets must not be used. `file` is for messages.
 */
settings_errors read_settings(const settings_table& table,
                              std::string_view text, const std::string& file);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_READER_HPP
