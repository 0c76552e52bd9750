#include "revision_printer.hpp"

#include "text_table.hpp"

namespace cyclamenrun
{

void print_revisions(const v1::ListRevisionsResponse& response,
                     std::ostream& stream)
{
    text_table table(
        {"PROCESS", "ROLE", "FAILURE-DOMAIN", "REVISION", "HEARD-MS-AGO"});
    for (const auto& process : response.processes())
        table.add({process.process(), process.role(), process.failure_domain(),
                   std::to_string(process.revision()),
                   std::to_string(process.heard_ms_ago())});
    table.write(stream);
}

} // namespace cyclamenrun
