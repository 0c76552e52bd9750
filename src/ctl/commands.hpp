#ifndef CYCLAMENRUN_CTL_COMMANDS_HPP
#define CYCLAMENRUN_CTL_COMMANDS_HPP

#include "config.pb.h"
#include "exit_code.hpp"

#include <string>
#include <vector>

namespace cyclamenrun
{

struct ctl_options;

/**
 * The commands of cyclamenrunctl. Each prints its result and returns the exit
 * code of the process. With `wait`, a command then waits until its changes are
 * in force in every known process, and returns exit_code::not_in_force if the
 * deadline passes first.
 */
exit_code run_apply(const ctl_options& options, const std::string& file,
                    bool wait);
exit_code run_delete(const ctl_options& options, v1::ResourceKind kind,
                     const std::string& name, bool wait);
exit_code run_show(const ctl_options& options, v1::ResourceKind kind);
exit_code run_find_change(const ctl_options& options,
                          const std::string& change_id);
exit_code run_drain(const ctl_options& options, const std::string& upstream);
/**
 * Prints the state of an upstream's agent, or that of the entry if `upstream`
 * is empty.
 */
exit_code run_dump(const ctl_options& options, const std::string& upstream);
exit_code run_revisions(const ctl_options& options);

/**
 * Prints the timeline of a request from log files, or from standard input if
 * there are none. Makes no network calls.
 */
exit_code run_explain(const std::string& request_id,
                      const std::vector<std::string>& files);

/**
 * Creates the key of a team, or an operator's key if `team` is empty. Makes no
 * network calls.
 */
exit_code run_new_key(const std::string& team);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CTL_COMMANDS_HPP
