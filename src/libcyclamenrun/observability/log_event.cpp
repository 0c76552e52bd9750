#include "log_event.hpp"

#include "log_line.hpp"
#include "logging.hpp"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <glog/logging.h>
#include <memory>

namespace cyclamenrun
{

namespace
{

/** What start_logging() sets before there are threads; constant after. */
struct log_target {
    std::string process;
    log_writer writer = write_log_line;
};

log_target& target()
{
    static log_target the_target;
    return the_target;
}

std::string format_now(log_severity severity, log_event_name event,
                       std::span<const log_field> fields)
{
    return format_log_line(std::chrono::system_clock::now(), target().process,
                           severity, event, fields);
}

/** Takes finished lines; glog calls it under its own lock. */
class line_sink : public google::LogSink
{
public:
    using google::LogSink::send;
    void send(google::LogSeverity, const char*, const char*, int,
              const google::LogMessageTime&, const char* message,
              size_t size) override
    {
        target().writer({message, size});
    }
};

/** Takes what libraries log in text. */
class message_sink : public google::LogSink
{
public:
    using google::LogSink::send;
    void send(google::LogSeverity severity, const char*, const char*, int,
              const google::LogMessageTime&, const char* message,
              size_t size) override
    {
        const auto known = severity > google::GLOG_ERROR
                               ? log_severity::error
                               : static_cast<log_severity>(severity);
        const log_field text(log_key::detail, std::string_view(message, size));
        target().writer(
            format_now(known, log_event_name::library_message, {&text, 1}));
    }
};

line_sink& lines()
{
    static line_sink the_sink;
    return the_sink;
}

/**
 * Guards against a slow clock: glog works out the offset of the time zone for
 * each line, and with TZ unset the C library reads /etc/localtime anew each
 * time, under a lock that all threads share. Our lines are in UTC anyway.
 */
void keep_time_in_utc()
{
    ::setenv("TZ", "UTC0", 1);
    ::tzset();
}

} // namespace

void write_log_line(std::string_view line)
{
    const auto whole = std::string(line) + '\n';
    std::fwrite(whole.data(), 1, whole.size(), stderr);
}

void start_logging(const std::string& process, log_severity least,
                   log_writer writer)
{
    static message_sink messages;
    keep_time_in_utc();
    target() = {process, std::move(writer)};
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    FLAGS_minloglevel = static_cast<int>(least);
    google::RemoveLogSink(&messages);
    google::AddLogSink(&messages);
    if (google::IsGoogleLoggingInitialized())
        return;
    google::InitGoogleLogging("cyclamenrun");
    for (int level = 0; level < google::NUM_SEVERITIES; ++level)
        google::SetLogDestination(level, "");
}

void log_event(log_severity severity, log_event_name event,
               std::initializer_list<log_field> fields)
{
    const auto level = static_cast<google::LogSeverity>(severity);
    if (level < FLAGS_minloglevel)
        return;
    const std::span<const log_field> span(fields.begin(), fields.size());
    google::LogMessage(__FILE__, __LINE__, level, &lines(), false).stream()
        << format_now(severity, event, span);
}

} // namespace cyclamenrun
