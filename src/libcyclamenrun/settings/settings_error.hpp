#ifndef CYCLAMENRUN_SETTINGS_ERROR_HPP
#define CYCLAMENRUN_SETTINGS_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace cyclamenrun
{

/** What is wrong with a settings file. */
enum class settings_problem : std::uint8_t {
    unreadable,    ///< The file, or one it names, cannot be read.
    syntax,        ///< It is not TOML.
    unknown_key,   ///< No such setting; often a misspelling.
    wrong_type,    ///< For example text where a number is due.
    not_allowed,   ///< Right type, but the value is out of range.
    missing,       ///< A setting without default was not given.
    contradictory, ///< Two settings cannot stand together.
};

std::string_view name_of(settings_problem problem);

/** One thing to mend in a settings file. Never holds a key's bytes. */
struct settings_error {
    settings_problem problem = settings_problem::unreadable;
    std::string file;
    std::uint32_t line = 0; ///< from 1; 0: the file as a whole
    std::string key;        ///< dotted; empty: not about one key
    std::string allowed;    ///< what would have been right

    bool operator==(const settings_error&) const = default;
};

/** `FILE:LINE: KEY: what is wrong: what is allowed`. */
std::string to_string(const settings_error& error);

/** All errors of a file at once, so that one look mends it. */
using settings_errors = std::vector<settings_error>;

template <typename Settings>
using settings_outcome = tl::expected<Settings, settings_errors>;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_ERROR_HPP
