#ifndef CYCLAMENRUN_RESOURCE_PRINTER_HPP
#define CYCLAMENRUN_RESOURCE_PRINTER_HPP

#include "operator.pb.h"

#include <string>

namespace cyclamenrun
{

/** A table of one kind of resource on standard output. */
void print_resources(v1::ResourceKind kind,
                     const v1::ListResourcesResponse& response);

/** `service redactor`, as people name a resource. */
std::string describe(v1::ResourceKind kind, const std::string& name);

/** The whole of a resource on one line, keys' hashes left out. */
std::string describe(const v1::Resource& resource);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RESOURCE_PRINTER_HPP
