#ifndef CYCLAMENRUN_SETTINGS_WRITER_HPP
#define CYCLAMENRUN_SETTINGS_WRITER_HPP

#include "settings_row.hpp"

#include <string>

namespace cyclamenrun
{

/**
 * Returns a settings file with every key, its description and its current
 * value. Keys without a default are commented out.
 */
std::string write_settings(const settings_table& table);

/** Returns the rows as a Markdown table for the reference page. */
std::string write_settings_reference(const settings_table& table);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_WRITER_HPP
