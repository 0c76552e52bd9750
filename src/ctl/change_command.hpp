#ifndef CYCLAMENRUN_CHANGE_COMMAND_HPP
#define CYCLAMENRUN_CHANGE_COMMAND_HPP

#include "ctl_options.hpp"
#include "exit_code.hpp"
#include "operator.pb.h"
#include "operator_client.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** Applies changes one after another and prints the outcome of each. */
class change_command
{
public:
    explicit change_command(const ctl_options& options);

    /** Creates or updates a resource unless it already has this content. */
    exit_code put(const v1::Resource& resource);
    /** Deletes a resource; exit_code::not_found if there is none. */
    exit_code remove(v1::ResourceKind kind, const std::string& name);

    /**
     * Waits until all changes made by this command are in force in every known
     * process. Returns exit_code::not_in_force if they are not by the deadline,
     * or the exit code of the error if an RPC fails.
     */
    exit_code wait_in_force() const;

private:
    exit_code change(v1::ChangeRecord record);
    exit_code report(const v1::ChangeRecord& record,
                     const v1::ApplyChangeResponse& response);
    exit_code report_conflict(const v1::ChangeRecord& record,
                              const v1::Conflict& conflict) const;
    /** Returns the resource or its tombstone; empty if there is neither. */
    rpc_outcome<std::optional<v1::ResourceState>> find(v1::ResourceKind kind,
                                                       const std::string& name);

    operator_client client_;
    bool json_;
    /** Resources of each kind, as first queried. */
    std::map<v1::ResourceKind, v1::ListResourcesResponse> listed_;
    /** The revision that wait_in_force() waits for. */
    std::uint64_t newest_revision_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CHANGE_COMMAND_HPP
