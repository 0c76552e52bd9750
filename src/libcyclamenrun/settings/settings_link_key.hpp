#ifndef CYCLAMENRUN_SETTINGS_LINK_KEY_HPP
#define CYCLAMENRUN_SETTINGS_LINK_KEY_HPP

#include "process_settings.hpp"
#include "settings_error.hpp"

namespace cyclamenrun
{

/**
 * Checks that exactly one of link_key and link_key_file is set, and reads the
 * key from link_key_file if that is set. `file` is the settings file.
 */
settings_errors resolve_link_key(process_settings& settings,
                                 const std::string& file);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_LINK_KEY_HPP
