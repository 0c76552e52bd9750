#ifndef CYCLAMENRUN_REVISION_PRINTER_HPP
#define CYCLAMENRUN_REVISION_PRINTER_HPP

#include "operator.pb.h"

#include <ostream>

namespace cyclamenrun
{

/** Prints a table of the revision in force in each process. */
void print_revisions(const v1::ListRevisionsResponse& response,
                     std::ostream& stream);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REVISION_PRINTER_HPP
