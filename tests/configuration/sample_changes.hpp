#ifndef CYCLAMENRUN_TESTS_SAMPLE_CHANGES_HPP
#define CYCLAMENRUN_TESTS_SAMPLE_CHANGES_HPP

#include "config.pb.h"

#include <string>

namespace cyclamenrun
{

/** Returns a change that creates a team or updates its weight. */
inline v1::ChangeRecord team_change(const std::string& change_id,
                                    std::uint64_t base_revision,
                                    std::uint32_t weight,
                                    const std::string& name = "amianto")
{
    v1::ChangeRecord change;
    change.set_change_id(change_id);
    change.set_base_revision(base_revision);
    change.set_kind(v1::RESOURCE_KIND_TEAM);
    change.set_name(name);
    auto* team = change.mutable_resource()->mutable_team();
    team->set_name(name);
    team->set_key_salt(std::string(16, 's'));
    team->set_key_hash(std::string(32, 'h'));
    team->set_weight(weight);
    return change;
}

/** Returns a change that creates or updates a model service. */
inline v1::ChangeRecord service_change(const std::string& change_id,
                                       std::uint64_t base_revision,
                                       const std::string& name = "redactor")
{
    v1::ChangeRecord change;
    change.set_change_id(change_id);
    change.set_base_revision(base_revision);
    change.set_kind(v1::RESOURCE_KIND_SERVICE);
    change.set_name(name);
    auto* service = change.mutable_resource()->mutable_service();
    service->set_name(name);
    service->set_kind(v1::SERVICE_KIND_MODEL);
    service->set_objective(v1::OBJECTIVE_STALL_TIME);
    service->set_model("dossier-13b");
    return change;
}

/** Returns a change that creates or updates an assignment. */
inline v1::ChangeRecord assignment_change(const std::string& change_id,
                                          std::uint64_t base_revision,
                                          const std::string& name,
                                          const std::string& service)
{
    v1::ChangeRecord change;
    change.set_change_id(change_id);
    change.set_base_revision(base_revision);
    change.set_kind(v1::RESOURCE_KIND_ASSIGNMENT);
    change.set_name(name);
    auto* assignment = change.mutable_resource()->mutable_assignment();
    assignment->set_name(name);
    assignment->set_service(service);
    assignment->set_model("dossier-13b");
    assignment->set_version("v7");
    return change;
}

/** Turns a change of a resource into the deletion of that resource. */
inline v1::ChangeRecord deletion(v1::ChangeRecord change)
{
    change.clear_resource();
    return change;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_SAMPLE_CHANGES_HPP
