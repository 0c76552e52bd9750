#include "failure_report.hpp"

#include "json_text.hpp"
#include "log_event.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace cyclamenrun
{

namespace
{

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool has_sanitizer = true;
#else
constexpr bool has_sanitizer = false;
#endif

struct signal_row {
    int number;
    std::string_view name;
};

constexpr std::array signals{
    signal_row{SIGABRT, "SIGABRT"}, signal_row{SIGBUS, "SIGBUS"},
    signal_row{SIGFPE, "SIGFPE"},   signal_row{SIGILL, "SIGILL"},
    signal_row{SIGSEGV, "SIGSEGV"},
};

/** Of a line after its time, without the signal's name. */
std::string& line_middle()
{
    static std::string text;
    return text;
}

/** A line in a buffer of fixed size, for use in a signal handler. */
class fixed_line
{
public:
    void append(std::string_view text)
    {
        const auto count = std::min(text.size(), bytes_.size() - size_);
        std::copy_n(text.begin(), count, bytes_.begin() + size_);
        size_ += count;
    }
    /** Appends a number of at least `width` digits. */
    void append(unsigned number, std::size_t width)
    {
        std::array<char, 12> digits{};
        const auto* const end =
            std::to_chars(digits.begin(), digits.end(), number).ptr;
        const auto count = static_cast<std::size_t>(end - digits.begin());
        for (auto i = count; i < width; ++i)
            append("0");
        append(std::string_view(digits.data(), count));
    }
    void append_time();
    /** Not if the reader is so slow that the write would wait. */
    void write() const
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
            return;
        [[maybe_unused]] const auto written =
            ::write(STDOUT_FILENO, bytes_.data(), size_);
    }

private:
    std::array<char, 512> bytes_;
    std::size_t size_ = 0;
};

/** Without the C library's time zone, which takes a lock. */
void fixed_line::append_time()
{
    using namespace std::chrono;
    timespec clock{};
    ::clock_gettime(CLOCK_REALTIME, &clock);
    const sys_seconds now{seconds(clock.tv_sec)};
    const auto day = floor<days>(now);
    const year_month_day date(day);
    const hh_mm_ss time(now - day);
    constexpr long ns_per_ms = 1000000;
    append(static_cast<unsigned>(static_cast<int>(date.year())), 4);
    append("-");
    append(static_cast<unsigned>(date.month()), 2);
    append("-");
    append(static_cast<unsigned>(date.day()), 2);
    append("T");
    append(static_cast<unsigned>(time.hours().count()), 2);
    append(":");
    append(static_cast<unsigned>(time.minutes().count()), 2);
    append(":");
    append(static_cast<unsigned>(time.seconds().count()), 2);
    append(".");
    append(static_cast<unsigned>(clock.tv_nsec / ns_per_ms), 3);
    append("Z");
}

std::string_view name_of_signal(int number)
{
    for (const auto& row : signals)
        if (row.number == number)
            return row.name;
    return "unknown";
}

/** The default action ends the process after it. */
void report_signal(int number)
{
    fixed_line line;
    line.append(R"({"time":")");
    line.append_time();
    line.append(line_middle());
    line.append(name_of_signal(number));
    line.append("\"}\n");
    line.write();
    ::raise(number);
}

[[noreturn]] void report_exception()
{
    std::string text = "terminated without an exception";
    try {
        if (const auto thrown = std::current_exception())
            std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
        text = std::string("uncaught exception: ") + error.what();
    } catch (...) {
        text = "uncaught exception of an unknown type";
    }
    log_event(log_severity::error, log_event_name::internal_error,
              {{log_key::detail, text}});
    std::abort();
}

} // namespace

void report_own_failures(std::string_view process)
{
    std::set_terminate(report_exception);
    line_middle() = R"(","severity":"error","process":)" +
                    json_quoted(process) + R"(,"event":")" +
                    std::string(name_of(log_event_name::process_failed)) +
                    R"(","signal":")";
    struct sigaction action {
    };
    action.sa_handler = report_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    ::sigemptyset(&action.sa_mask);
    for (const auto& row : signals)
        if (!has_sanitizer || row.number == SIGABRT)
            ::sigaction(row.number, &action, nullptr);
}

} // namespace cyclamenrun
