#ifndef CYCLAMENRUN_LOG_LINE_HPP
#define CYCLAMENRUN_LOG_LINE_HPP

#include "log_event_name.hpp"
#include "log_field.hpp"
#include "log_severity.hpp"

#include <chrono>
#include <span>
#include <string>

namespace cyclamenrun
{

/** Formats one event as a line of JSON; escapes arbitrary bytes in texts. */
std::string format_log_line(std::chrono::system_clock::time_point at,
                            std::string_view process, log_severity severity,
                            log_event_name event,
                            std::span<const log_field> fields);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_LINE_HPP
