#ifndef CYCLAMENRUN_SETTINGS_ERROR_HPP
#define CYCLAMENRUN_SETTINGS_ERROR_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace cyclamenrun
{

/** The kind of error in a settings file. */
enum class settings_problem : std::uint8_t {
    unreadable,    ///< The file, or a file that it names, cannot be read.
    syntax,        ///< The file is not valid TOML.
    unknown_key,   ///< No such setting; often a misspelling.
    wrong_type,    ///< For example text for a number.
    not_allowed,   ///< The type is right but the value is not accepted.
    missing,       ///< A setting without a default is missing.
    contradictory, ///< Two settings contradict each other.
};

std::string_view name_of(settings_problem problem);

/** One error in a settings file. Never contains the bytes of a key. */
struct settings_error {
    settings_problem problem = settings_problem::unreadable;
    std::string file;
    std::uint32_t line = 0; ///< from 1; 0: the whole file
    std::string key;        ///< dotted path; empty: not about one key
    std::string detail;     ///< values that are allowed, or the cause

    bool operator==(const settings_error&) const = default;
};

/** Formats an error as `FILE:LINE: KEY: problem: detail`. */
std::string to_string(const settings_error& error);

/** All errors of a file, so that an operator can correct them in one pass. */
using settings_errors = std::vector<settings_error>;

template <typename Settings>
using settings_outcome = tl::expected<Settings, settings_errors>;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_ERROR_HPP
