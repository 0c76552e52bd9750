#ifndef CYCLAMENRUN_CHANGE_COMMAND_HPP
#define CYCLAMENRUN_CHANGE_COMMAND_HPP

#include "ctl_options.hpp"
#include "exit_code.hpp"
#include "operator.pb.h"
#include "operator_session.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** Makes changes one after another and tells of each. */
class change_command
{
public:
    explicit change_command(const ctl_options& options);

    /** Brings the resource to what is asked for, unless it is so already. */
    exit_code put(const v1::Resource& resource);
    exit_code remove(v1::ResourceKind kind, const std::string& name);

    /** Waits until all changes made are in force in every process known. */
    exit_code wait_in_force() const;

private:
    exit_code change(v1::ChangeRecord record);
    exit_code report(const v1::ChangeRecord& record,
                     const v1::ApplyChangeResponse& response);
    exit_code report_conflict(const v1::ChangeRecord& record,
                              const v1::Conflict& conflict) const;
    rpc_outcome<std::optional<v1::ResourceState>> find(v1::ResourceKind kind,
                                                       const std::string& name);

    operator_session session_;
    bool json_;
    /** What was in force of each kind when first looked at. */
    std::map<v1::ResourceKind, v1::ListResourcesResponse> listed_;
    std::uint64_t newest_revision_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CHANGE_COMMAND_HPP
