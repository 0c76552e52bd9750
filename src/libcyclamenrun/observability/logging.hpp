#ifndef CYCLAMENRUN_LOGGING_HPP
#define CYCLAMENRUN_LOGGING_HPP

#include "log_severity.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Takes one line without its line feed; called by one thread at a time. */
using log_writer = std::function<void(std::string_view line)>;

/** Writes a line to standard error in one piece. */
void write_log_line(std::string_view line);

/**
 * Sets glog up to write JSON lines: our own events as they are, messages of
 * libraries wrapped as `library_message`. Called once by main() before the
 * first thread; events below `least` are dropped.
 */
void start_logging(const std::string& process, log_severity least,
                   log_writer writer = write_log_line);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOGGING_HPP
