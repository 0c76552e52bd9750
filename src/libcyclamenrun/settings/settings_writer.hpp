#ifndef CYCLAMENRUN_SETTINGS_WRITER_HPP
#define CYCLAMENRUN_SETTINGS_WRITER_HPP

#include "settings_row.hpp"

#include <string>

namespace cyclamenrun
{

/**
 * A settings file with every key, its meaning and its value now; what the
 * user must fill in is commented out.
 */
std::string write_settings(const settings_table& table);

/** The same as a table in Markdown, for the reference page. */
std::string write_settings_reference(const settings_table& table);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_WRITER_HPP
