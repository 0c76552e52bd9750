#ifndef CYCLAMENRUN_RESOURCE_PRINTER_HPP
#define CYCLAMENRUN_RESOURCE_PRINTER_HPP

#include "operator.pb.h"

#include <string>

namespace cyclamenrun
{

/** Prints a table of the resources of one kind on standard output. */
void print_resources(v1::ResourceKind kind,
                     const v1::ListResourcesResponse& response);

/** Returns a readable name of a resource, such as `service redactor`. */
std::string describe(v1::ResourceKind kind, const std::string& name);

/** Returns a whole resource on one line, without the hashes of keys. */
std::string describe(const v1::Resource& resource);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RESOURCE_PRINTER_HPP
