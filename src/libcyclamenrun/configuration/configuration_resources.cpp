#include "configuration_resources.hpp"

namespace cyclamenrun
{

configuration_resources::resource_pointer
configuration_resources::find(v1::ResourceKind kind,
                              const std::string& name) const
{
    const auto found = resources_.find({kind, name});
    return found == resources_.end() ? nullptr : found->second;
}

const v1::Service*
configuration_resources::service(const std::string& name) const
{
    const auto state = find(v1::RESOURCE_KIND_SERVICE, name);
    return state && state->has_resource() ? &state->resource().service()
                                          : nullptr;
}

const v1::Team* configuration_resources::team(const std::string& name) const
{
    const auto state = find(v1::RESOURCE_KIND_TEAM, name);
    return state && state->has_resource() ? &state->resource().team() : nullptr;
}

const v1::Assignment*
configuration_resources::assignment(const std::string& name) const
{
    const auto state = find(v1::RESOURCE_KIND_ASSIGNMENT, name);
    return state && state->has_resource() ? &state->resource().assignment()
                                          : nullptr;
}

std::vector<const v1::Service*> configuration_resources::services() const
{
    std::vector<const v1::Service*> services;
    for (const auto& state : of_kind(v1::RESOURCE_KIND_SERVICE))
        services.push_back(&state->resource().service());
    return services;
}

std::vector<const v1::Team*> configuration_resources::teams() const
{
    std::vector<const v1::Team*> teams;
    for (const auto& state : of_kind(v1::RESOURCE_KIND_TEAM))
        teams.push_back(&state->resource().team());
    return teams;
}

std::vector<const v1::Assignment*> configuration_resources::assignments() const
{
    std::vector<const v1::Assignment*> assignments;
    for (const auto& state : of_kind(v1::RESOURCE_KIND_ASSIGNMENT))
        assignments.push_back(&state->resource().assignment());
    return assignments;
}

std::vector<configuration_resources::resource_pointer>
configuration_resources::of_kind(v1::ResourceKind kind,
                                 bool include_deleted) const
{
    std::vector<resource_pointer> matches;
    for (const auto& [key, state] : resources_) {
        if (kind != v1::RESOURCE_KIND_UNSPECIFIED && key.first != kind)
            continue;
        if (state->has_resource() || include_deleted)
            matches.push_back(state);
    }
    return matches;
}

std::uint64_t
configuration_resources::revision_of(v1::ResourceKind kind,
                                     const std::string& name) const
{
    const auto state = find(kind, name);
    return state ? state->revision() : 0;
}

std::size_t configuration_resources::live_count(v1::ResourceKind kind) const
{
    std::size_t count = 0;
    for (const auto& [key, state] : resources_)
        count += key.first == kind && state->has_resource() ? 1 : 0;
    return count;
}

void configuration_resources::put(v1::ResourceState state)
{
    resource_pointer& slot = resources_[{state.kind(), state.name()}];
    if (slot && !slot->has_resource())
        --tombstones_;
    if (!state.has_resource())
        ++tombstones_;
    slot = std::make_shared<const v1::ResourceState>(std::move(state));
    if (tombstones_ > max_tombstones)
        drop_oldest_tombstone();
}

void configuration_resources::drop_oldest_tombstone()
{
    auto oldest = resources_.end();
    for (auto it = resources_.begin(); it != resources_.end(); ++it) {
        if (it->second->has_resource())
            continue;
        if (oldest == resources_.end() ||
            it->second->revision() < oldest->second->revision())
            oldest = it;
    }
    resources_.erase(oldest);
    --tombstones_;
}

} // namespace cyclamenrun
