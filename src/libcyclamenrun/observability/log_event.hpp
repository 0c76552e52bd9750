#ifndef CYCLAMENRUN_LOG_EVENT_HPP
#define CYCLAMENRUN_LOG_EVENT_HPP

#include "log_event_name.hpp"
#include "log_field.hpp"
#include "log_severity.hpp"

#include <chrono>
#include <initializer_list>
#include <span>

namespace cyclamenrun
{

/**
 * Logs one event as one JSON line on standard output. Thread-safe and
 * non-blocking. Prompt text must not be passed as a field; keys can't be, since
 * they are of type `secret`, which log_field does not accept. Texts are
 * truncated to `max_log_text_bytes` bytes.
 */
void log_event(log_severity severity, log_event_name event,
               std::initializer_list<log_field> fields = {});

/** Logs an event that happened at an earlier time. */
void log_event_at(std::chrono::system_clock::time_point at,
                  log_severity severity, log_event_name event,
                  std::span<const log_field> fields);

inline constexpr std::size_t max_log_text_bytes = 1024;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOG_EVENT_HPP
