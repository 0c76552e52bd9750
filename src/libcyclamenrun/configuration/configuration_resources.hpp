#ifndef CYCLAMENRUN_CONFIGURATION_RESOURCES_HPP
#define CYCLAMENRUN_CONFIGURATION_RESOURCES_HPP

#include "config.pb.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenrun
{

/**
 * Services, teams and assignments by kind and name, including the tombstones
 * of deleted ones. Copies share the resource objects, which makes one copy per
 * change cheap.
 */
class configuration_resources
{
public:
    using resource_pointer = std::shared_ptr<const v1::ResourceState>;

    /**
     * Returns the resource or its tombstone; null if it never existed or its
     * tombstone was dropped.
     */
    resource_pointer find(v1::ResourceKind kind, const std::string& name) const;

    /** These return null for a resource that is deleted or never existed. */
    const v1::Service* service(const std::string& name) const;
    const v1::Team* team(const std::string& name) const;
    const v1::Assignment* assignment(const std::string& name) const;

    std::vector<const v1::Service*> services() const;
    std::vector<const v1::Team*> teams() const;
    std::vector<const v1::Assignment*> assignments() const;

    /**
     * Returns the resources of a kind, sorted by name. The kind "unspecified"
     * selects all kinds, sorted by kind and name.
     */
    std::vector<resource_pointer> of_kind(v1::ResourceKind kind,
                                          bool include_deleted = false) const;

    /**
     * Returns the revision that a change of the resource must use as its base;
     * 0 if find() returns null.
     */
    std::uint64_t revision_of(v1::ResourceKind kind,
                              const std::string& name) const;

    /** Returns the number of resources of a kind, without tombstones. */
    std::size_t live_count(v1::ResourceKind kind) const;
    /** Returns the number of resources and tombstones of all kinds. */
    std::size_t size() const { return resources_.size(); }

    /**
     * Adds or replaces a resource. Drops the tombstone with the lowest revision
     * if there are more than max_tombstones; all readers drop the same one.
     */
    void put(v1::ResourceState state);

    static constexpr std::size_t max_tombstones = 1024;

private:
    using resource_key = std::pair<v1::ResourceKind, std::string>;

    void drop_oldest_tombstone();

    std::map<resource_key, resource_pointer> resources_;
    std::size_t tombstones_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_RESOURCES_HPP
