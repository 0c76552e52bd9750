#ifndef CYCLAMENRUN_CTL_COMMANDS_HPP
#define CYCLAMENRUN_CTL_COMMANDS_HPP

#include "config.pb.h"
#include "exit_code.hpp"

#include <string>
#include <vector>

namespace cyclamenrun
{

struct ctl_options;

/** The commands of cyclamenrunctl; each prints and says how to end. */
exit_code run_apply(const ctl_options& options, const std::string& file,
                    bool wait);
exit_code run_delete(const ctl_options& options, v1::ResourceKind kind,
                     const std::string& name, bool wait);
exit_code run_show(const ctl_options& options, v1::ResourceKind kind);
exit_code run_find_change(const ctl_options& options,
                          const std::string& change_id);
exit_code run_drain(const ctl_options& options, const std::string& upstream);
exit_code run_dump(const ctl_options& options, const std::string& upstream);
exit_code run_revisions(const ctl_options& options);

/**
 * Tells a request's story from logs: files, or standard input if there are
 * none. Talks to nobody.
 */
exit_code run_explain(const std::string& request_id,
                      const std::vector<std::string>& files);

/** Makes a key without talking to anyone; an empty team: an operator's. */
exit_code run_new_key(const std::string& team);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CTL_COMMANDS_HPP
