#ifndef CYCLAMENRUN_EXIT_CODE_HPP
#define CYCLAMENRUN_EXIT_CODE_HPP

#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenrun
{

/** Exit codes of all programs. The numbers are a stable interface. */
enum class exit_code : std::uint8_t {
    ok = 0,
    failed = 1,
    usage = 2,
    settings = 3,
    cannot_listen = 4,
    work_cut = 5,
    unreachable = 6,
    refused = 7,
    invalid = 8,
    conflict = 9,
    uncertain = 10,
    not_in_force = 11,
    not_found = 12,
};

/** An exit code with the name and description that --help and the docs show. */
struct exit_code_row {
    exit_code code;
    std::string_view name;
    std::string_view doc;
};

/** All exit codes in the order of their numbers. */
std::span<const exit_code_row> exit_code_table();

/** Converts `code` to the return value of main(). */
inline int to_status(exit_code code)
{
    return static_cast<int>(code);
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_EXIT_CODE_HPP
