#ifndef CYCLAMENRUN_SETTINGS_LINK_KEY_HPP
#define CYCLAMENRUN_SETTINGS_LINK_KEY_HPP

#include "process_settings.hpp"
#include "settings_error.hpp"

namespace cyclamenrun
{

/**
 * Sees to it that the settings hold a link key: from the settings themselves
 * or from the file that they name. `file` is the settings file.
 */
settings_errors resolve_link_key(process_settings& settings,
                                 const std::string& file);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_LINK_KEY_HPP
