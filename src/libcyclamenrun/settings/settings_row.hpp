#ifndef CYCLAMENRUN_SETTINGS_ROW_HPP
#define CYCLAMENRUN_SETTINGS_ROW_HPP

#include "clock.hpp"
#include "ip_endpoint.hpp"
#include "key_hash.hpp"
#include "log_severity.hpp"
#include "secret.hpp"
#include "upstream_kind.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cyclamenrun
{

/** The struct member that a row sets; its type is the setting's type. */
using settings_target =
    std::variant<std::string*, std::uint64_t*, double*, bool*, milliseconds*,
                 ip_endpoint*, secret*, std::vector<key_hash>*,
                 std::vector<std::string>*, log_severity*, upstream_kind*>;

/** Whether a settings file may omit a setting. */
enum class settings_presence : std::uint8_t {
    optional, ///< The member's initial value is the default.
    required, ///< The file must contain the setting.
};

/**
 * Describes one setting. The reader, `--print-defaults` and the reference page
 * all use the same rows, so that they cannot disagree. The default is the
 * member's initial value and is defined nowhere else.
 */
struct settings_row {
    std::string_view key; ///< dotted path in the file
    settings_target target;
    settings_presence presence = settings_presence::optional;
    /**
     * Bounds of a number, of a text's length in bytes or of a list's size;
     * unused for other types.
     */
    double minimum = 0;
    double maximum = 0;
    std::string_view unit; ///< empty if there is none
    std::string_view doc;  ///< description
};

using settings_table = std::vector<settings_row>;

/** Returns the type in words: `integer`, `text`, `IP:PORT` and so on. */
std::string type_of(const settings_row& row);

/** Describes the allowed values, for messages and the reference page. */
std::string allowed_values(const settings_row& row);

/** Returns the target's current value as TOML. Link keys are masked. */
std::string value_of(const settings_row& row);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_ROW_HPP
