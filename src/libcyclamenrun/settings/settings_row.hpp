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

/** The member of a settings struct that a row fills; its type is the row's. */
using settings_target =
    std::variant<std::string*, std::uint64_t*, double*, bool*, milliseconds*,
                 ip_endpoint*, secret*, std::vector<key_hash>*,
                 std::vector<std::string>*, log_severity*, upstream_kind*>;

enum class settings_presence : std::uint8_t {
    optional, ///< The struct's initial value is the default.
    required, ///< The file must give it.
};

/**
 * Everything known about one setting. The reader, `--print-defaults` and the
 * reference page all work from rows, so that they cannot disagree; the
 * default is the member's initial value and stands nowhere else.
 */
struct settings_row {
    std::string_view key; ///< dotted path in the file
    settings_target target;
    settings_presence presence = settings_presence::optional;
    /** Of numbers; of texts the length; of lists the count. */
    double minimum = 0;
    double maximum = 0;
    std::string_view unit;
    std::string_view doc;
};

using settings_table = std::vector<settings_row>;

/** In words: `integer`, `text`, `IP:PORT` and so on. */
std::string type_of(const settings_row& row);

/** Which values are allowed, in words for messages and the reference. */
std::string allowed_by(const settings_row& row);

/** The value that the target holds now, as TOML. Keys are not shown. */
std::string value_of(const settings_row& row);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_ROW_HPP
