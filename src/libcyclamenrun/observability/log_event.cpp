#include "log_event.hpp"

#include "line_output.hpp"
#include "log_line.hpp"
#include "logging.hpp"

#include <array>
#include <cstdlib>
#include <ctime>
#include <glog/logging.h>
#include <memory>
#include <mutex>
#include <unistd.h>

namespace cyclamenrun
{

namespace
{

/**
 * The destination of log lines. start_logging() sets the process name and the
 * writer before other threads start. The lock protects the rate limiter and the
 * counts, and serializes calls of the writer.
 */
class log_target
{
public:
    void start(const log_settings& settings, log_writer writer)
    {
        const std::lock_guard lock(mutex_);
        process_ = settings.process;
        writer_ = std::move(writer);
        rate_limiter_ = log_rate_limiter(settings.lines_per_s);
        unreported_ = {};
    }

    /**
     * Returns whether the rate limit allows a line of this severity; counts the
     * line as dropped if not. Called before the line is built.
     */
    bool admit(log_severity severity)
    {
        const std::lock_guard lock(mutex_);
        if (rate_limiter_.try_consume(severity, steady_now()))
            return true;
        count_dropped(severity);
        return false;
    }

    /** Writes a line. glog holds its own lock during the call. */
    void write(log_severity severity, std::string_view line)
    {
        const std::lock_guard lock(mutex_);
        if (!writer_)
            return;
        if (!report_dropped() || !writer_(severity, line))
            count_dropped(severity);
    }

    std::string format(std::chrono::system_clock::time_point at,
                       log_severity severity, log_event_name event,
                       std::span<const log_field> fields) const
    {
        return format_log_line(at, process_, severity, event, fields);
    }

    dropped_lines dropped() const
    {
        const std::lock_guard lock(mutex_);
        return total_dropped_;
    }

private:
    void count_dropped(log_severity severity)
    {
        unreported_.add(severity);
        total_dropped_.add(severity);
    }

    /**
     * Logs the number of dropped lines; returns false if the writer has no room
     * for that line.
     */
    bool report_dropped()
    {
        if (!unreported_.any())
            return true;
        const std::array fields{
            log_field(log_key::infos, unreported_.of(log_severity::info)),
            log_field(log_key::warnings, unreported_.of(log_severity::warning)),
            log_field(log_key::errors, unreported_.of(log_severity::error))};
        if (!writer_(log_severity::warning,
                     format(std::chrono::system_clock::now(),
                            log_severity::warning,
                            log_event_name::log_lines_dropped, fields)))
            return false;
        unreported_ = {};
        return true;
    }

    mutable std::mutex mutex_;
    std::string process_;
    log_writer writer_;
    log_rate_limiter rate_limiter_{log_settings::default_log_lines_per_s};
    dropped_lines unreported_;
    dropped_lines total_dropped_;
};

log_target& target()
{
    static log_target the_target;
    return the_target;
}

log_severity to_log_severity(google::LogSeverity severity)
{
    return severity > google::GLOG_ERROR ? log_severity::error
                                         : static_cast<log_severity>(severity);
}

/** Receives the lines of log_event_at(); glog calls it under its own lock. */
class line_sink : public google::LogSink
{
public:
    using google::LogSink::send;
    void send(google::LogSeverity severity, const char*, const char*, int,
              const google::LogMessageTime&, const char* message,
              size_t size) override
    {
        target().write(to_log_severity(severity), {message, size});
    }
};

/** Receives the text messages that libraries log. */
class message_sink : public google::LogSink
{
public:
    using google::LogSink::send;
    void send(google::LogSeverity severity, const char*, const char*, int,
              const google::LogMessageTime&, const char* message,
              size_t size) override
    {
        const auto event_severity = to_log_severity(severity);
        const log_field text(log_key::detail, std::string_view(message, size));
        if (target().admit(event_severity))
            target().write(event_severity,
                           target().format(
                               std::chrono::system_clock::now(), event_severity,
                               log_event_name::library_message, {&text, 1}));
    }
};

line_sink& lines()
{
    static line_sink the_sink;
    return the_sink;
}

/**
 * Sets the time zone of the process to UTC, which makes logging cheaper: glog
 * computes the time zone's offset for each line, and with TZ unset the C
 * library reads /etc/localtime again each time, under a lock that all threads
 * share. Log lines are in UTC in any case.
 */
void set_time_zone_to_utc()
{
    ::setenv("TZ", "UTC0", 1);
    ::tzset();
}

} // namespace

log_writer standard_output_writer()
{
    const auto output = std::make_shared<line_output>(STDOUT_FILENO);
    return [output](log_severity severity, std::string_view line) {
        return output->put(severity, line);
    };
}

dropped_lines total_dropped_lines()
{
    return target().dropped();
}

void start_logging(const log_settings& settings, log_writer writer)
{
    static message_sink messages;
    set_time_zone_to_utc();
    target().start(settings, std::move(writer));
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    FLAGS_minloglevel = static_cast<int>(settings.min_severity);
    google::RemoveLogSink(&messages);
    google::AddLogSink(&messages);
    if (google::IsGoogleLoggingInitialized())
        return;
    google::InitGoogleLogging("cyclamenrun");
    for (int level = 0; level < google::NUM_SEVERITIES; ++level)
        google::SetLogDestination(level, "");
}

void log_event_at(std::chrono::system_clock::time_point at,
                  log_severity severity, log_event_name event,
                  std::span<const log_field> fields)
{
    const auto level = static_cast<google::LogSeverity>(severity);
    if (level < FLAGS_minloglevel || !target().admit(severity))
        return;
    google::LogMessage(__FILE__, __LINE__, level, &lines(), false).stream()
        << target().format(at, severity, event, fields);
}

void log_event(log_severity severity, log_event_name event,
               std::initializer_list<log_field> fields)
{
    log_event_at(std::chrono::system_clock::now(), severity, event,
                 {fields.begin(), fields.size()});
}

} // namespace cyclamenrun
