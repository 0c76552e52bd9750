#include "exit_code.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    exit_code_row{exit_code::ok, "ok", "The command succeeded."},
    exit_code_row{exit_code::failed, "failed",
                  "Unexpected failure; the message gives the cause."},
    exit_code_row{exit_code::usage, "usage",
                  "The command line is invalid; see --help."},
    exit_code_row{
        exit_code::settings, "settings",
        "A settings or resource file is invalid; all errors are shown."},
    exit_code_row{
        exit_code::cannot_listen, "cannot_listen",
        "A daemon's address is in use or does not belong to this VM."},
    exit_code_row{exit_code::work_cut, "work_cut",
                  "A daemon's drain timed out while work was still running."},
    exit_code_row{
        exit_code::unreachable, "unreachable",
        "No entry answered, or the entry is not ready; nothing was changed."},
    exit_code_row{exit_code::refused, "refused",
                  "The entry refused: wrong key, not ready, or over a limit."},
    exit_code_row{exit_code::invalid, "invalid",
                  "The change violates the rules of its resource."},
    exit_code_row{exit_code::conflict, "conflict",
                  "A concurrent change was applied first; it is shown."},
    exit_code_row{exit_code::uncertain, "uncertain",
                  "The change may still take effect; query it by its id."},
    exit_code_row{exit_code::not_in_force, "not_in_force",
                  "Accepted, but not confirmed in force everywhere in time."},
    exit_code_row{exit_code::not_found, "not_found",
                  "The change, resource or upstream does not exist."},
};

} // namespace

std::span<const exit_code_row> exit_code_table()
{
    return rows;
}

} // namespace cyclamenrun
