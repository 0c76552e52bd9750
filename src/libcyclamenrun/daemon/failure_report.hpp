#ifndef CYCLAMENRUN_FAILURE_REPORT_HPP
#define CYCLAMENRUN_FAILURE_REPORT_HPP

#include <string_view>

namespace cyclamenrun
{

/**
 * From now on the log says why the process ends by itself: `process_failed`
 * with the signal that ends it, and `internal_error` with the text of an
 * uncaught exception. `process` is its name on the lines. Signals that a
 * sanitizer reports are left to it.
 */
void report_own_failures(std::string_view process);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_FAILURE_REPORT_HPP
