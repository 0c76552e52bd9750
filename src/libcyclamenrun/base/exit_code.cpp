#include "exit_code.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array rows{
    exit_code_row{exit_code::ok, "ok", "Done as asked."},
    exit_code_row{exit_code::failed, "failed",
                  "An unexpected failure; the message says which."},
    exit_code_row{exit_code::usage, "usage",
                  "The command line is not understood; see --help."},
    exit_code_row{exit_code::settings, "settings",
                  "A settings or resource file is wrong; each error is told."},
    exit_code_row{exit_code::cannot_listen, "cannot_listen",
                  "A daemon's address is taken or not of this VM."},
    exit_code_row{exit_code::work_cut, "work_cut",
                  "A daemon's drain ran out of time with work still running."},
    exit_code_row{exit_code::unreachable, "unreachable",
                  "No entry answered or it is not ready; nothing was changed."},
    exit_code_row{exit_code::refused, "refused",
                  "The entry refused: wrong key, not ready, or over a limit."},
    exit_code_row{exit_code::invalid, "invalid",
                  "The change breaks the rules of its resource."},
    exit_code_row{exit_code::conflict, "conflict",
                  "Another change came first; its result is shown."},
    exit_code_row{exit_code::uncertain, "uncertain",
                  "The change may come into force; ask again by its id."},
    exit_code_row{exit_code::not_in_force, "not_in_force",
                  "Accepted, but not seen in force everywhere in time."},
    exit_code_row{exit_code::not_found, "not_found",
                  "There is no such change, resource or upstream."},
};

} // namespace

std::span<const exit_code_row> exit_code_table()
{
    return rows;
}

} // namespace cyclamenrun
