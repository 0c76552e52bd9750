#include "clock.hpp"
#include "line_output.hpp"
#include "log_event.hpp"
#include "log_rate_limiter.hpp"
#include "logging.hpp"
#include "secret.hpp"

#include <Poco/JSON/Parser.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <glog/logging.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <mutex>
#include <poll.h>
#include <pthread.h>
#include <rapidcheck/gtest.h>
#include <sstream>
#include <system_error>
#include <thread>
#include <type_traits>
#include <unistd.h>

namespace cyclamenrun
{
namespace
{

/** Captures log lines in place of standard output. */
class log_capture
{
public:
    explicit log_capture(log_severity min_severity = log_severity::info)
    {
        start_logging({"test", min_severity, 1e6},
                      [this](log_severity, std::string_view line) {
                          const std::lock_guard lock(mutex_);
                          lines_.emplace_back(line);
                          return true;
                      });
    }
    ~log_capture() { start_logging({}, nullptr); }
    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;

    std::vector<std::string> lines() const
    {
        const std::lock_guard lock(mutex_);
        return lines_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<std::string> lines_;
};

Poco::JSON::Object::Ptr parse(const std::string& line)
{
    return Poco::JSON::Parser().parse(line).extract<Poco::JSON::Object::Ptr>();
}

static_assert(!std::is_constructible_v<log_field, log_key, secret>,
              "log events must not accept keys");

TEST(logging, an_event_carries_typed_fields_but_no_generation_secret)
{
    const log_capture captured;
    const generation_id generation{"vm-1", 7, 3, 123456789};
    log_event(log_severity::warning, log_event_name::request_refused,
              {{log_key::request_id, "r-1"},
               {log_key::generation, generation},
               {log_key::reason, refusal_reason::queue_full},
               {log_key::tokens, 12U}});
    ASSERT_EQ(captured.lines().size(), 1U);
    const auto line = parse(captured.lines().front());
    EXPECT_EQ(line->getValue<std::string>("event"), "request_refused");
    EXPECT_EQ(line->getValue<std::string>("severity"), "warning");
    EXPECT_EQ(line->getValue<std::string>("reason"), "queue_full");
    EXPECT_EQ(line->getValue<int>("tokens"), 12);
    // 75bcd15 is the generation's secret in hexadecimal.
    EXPECT_THAT(captured.lines().front(),
                testing::AllOf(testing::HasSubstr("vm-1:7:3"),
                               testing::Not(testing::HasSubstr("75bcd15"))));
}

TEST(logging, lines_of_libraries_are_json_and_low_severities_are_dropped)
{
    const log_capture captured(log_severity::warning);
    log_event(log_severity::info, log_event_name::request_finished);
    LOG(ERROR) << "quoted \"text\"\nsecond line";
    ASSERT_EQ(captured.lines().size(), 1U);
    const auto line = parse(captured.lines().front());
    EXPECT_EQ(line->getValue<std::string>("event"), "library_message");
    EXPECT_EQ(line->getValue<std::string>("detail"),
              "quoted \"text\"\nsecond line");
}

TEST(logging, concurrent_threads_do_not_mix_lines)
{
    const log_capture captured;
    std::vector<std::jthread> threads;
    for (unsigned thread = 0; thread < 4; ++thread) {
        threads.emplace_back([thread] {
            for (unsigned count = 0; count < 50; ++count)
                log_event(log_severity::info, log_event_name::request_finished,
                          {{log_key::count, thread * 50 + count}});
        });
    }
    threads.clear();
    std::set<int> counts;
    for (const auto& line : captured.lines())
        counts.insert(parse(line)->getValue<int>("count"));
    EXPECT_EQ(counts.size(), 200U);
}

// Callers choose request ids and paths: any bytes must yield one JSON line.
RC_GTEST_PROP(logging, hostile_text_leaves_one_line_of_json,
              (const std::vector<std::uint8_t>& bytes))
{
    const log_capture captured;
    const std::string text(bytes.begin(), bytes.end());
    log_event(log_severity::info, log_event_name::caller_refused,
              {{log_key::path, text}});
    const auto lines = captured.lines();
    RC_ASSERT(lines.size() == 1U);
    RC_ASSERT(lines.front().find('\n') == std::string::npos);
    RC_ASSERT(parse(lines.front())->has("path"));
}

/** A pipe that is not read until the test calls read_lines(). */
class unread_pipe
{
public:
    unread_pipe() { EXPECT_EQ(::pipe(ends_.data()), 0); }
    ~unread_pipe()
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    unread_pipe(const unread_pipe&) = delete;
    unread_pipe& operator=(const unread_pipe&) = delete;

    int writing_end() const { return ends_[1]; }

    /**
     * Reads until `count` lines have arrived, or until no data arrives for ten
     * seconds.
     */
    std::vector<std::string> read_lines(std::size_t count) const
    {
        std::string text;
        std::array<char, 65536> buffer{};
        pollfd wanted{ends_[0], POLLIN, 0};
        while (static_cast<std::size_t>(
                   std::count(text.begin(), text.end(), '\n')) < count &&
               ::poll(&wanted, 1, 10000) > 0) {
            const auto size = ::read(ends_[0], buffer.data(), buffer.size());
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        std::vector<std::string> lines;
        std::istringstream whole(text);
        for (std::string line; std::getline(whole, line);)
            lines.push_back(line);
        return lines;
    }

private:
    std::array<int, 2> ends_{};
};

// The log collector hangs and does not read the pipe, so a blocking write would
// stop the process in the middle of a request. Lines of severity info must be
// dropped first, and no accepted line may be lost.
TEST(line_output, does_not_block_and_drops_info_lines_first)
{
    constexpr std::size_t queued_bytes = 1000000;
    const unread_pipe pipe;
    const std::string line(999, 'x');
    std::size_t infos = 0;
    std::size_t errors = 0;
    const auto start = steady_now();
    {
        line_output output(pipe.writing_end(), queued_bytes);
        while (output.put(log_severity::info, line))
            ++infos;
        while (output.put(log_severity::error, line))
            ++errors;
        EXPECT_LT(steady_now() - start, std::chrono::seconds(5));
        // Lines of severity info fill half of the queue, and the pipe itself
        // buffers 64 KiB.
        EXPECT_NEAR(static_cast<double>(infos), 565, 20);
        EXPECT_NEAR(static_cast<double>(errors), 500, 20);
        const auto lines = pipe.read_lines(infos + errors);
        EXPECT_EQ(lines.size(), infos + errors);
        EXPECT_THAT(lines, testing::Each(line));
        EXPECT_TRUE(output.put(log_severity::info, "after"));
        EXPECT_THAT(pipe.read_lines(1), testing::ElementsAre("after"));
    }
}

/** Writes to a full pipe in a process that can't start a thread. */
[[noreturn]] void write_without_threads()
{
    const unread_pipe pipe;
    line_output output(pipe.writing_end());
    const std::string line(999, 'x');
    // No address space has room for such a stack.
    pthread_attr_t attributes;
    if (::pthread_attr_init(&attributes) != 0 ||
        ::pthread_attr_setstacksize(&attributes, std::size_t(1) << 60) != 0 ||
        ::pthread_setattr_default_np(&attributes) != 0)
        std::_Exit(2);
    try {
        std::thread([] {}).join();
        std::_Exit(3);
    } catch (const std::system_error&) {
    }
    bool accepted = true;
    for (int i = 0; i < 100; ++i)
        accepted = output.put(log_severity::error, line) && accepted;
    const auto lines = pipe.read_lines(60);
    accepted = output.put(log_severity::error, "after") && accepted;
    std::_Exit(accepted && lines.size() >= 60 ? 0 : 1);
}

// Guards against a process that ends by itself: its log is not read, and it has
// no thread for the lines that wait.
TEST(line_output, keeps_lines_without_a_thread_to_write_them)
{
    testing::FLAGS_gtest_death_test_style = "threadsafe";
    EXPECT_EXIT(write_without_threads(), testing::ExitedWithCode(0), "");
}

TEST(line_output, a_closed_reader_does_not_block)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    std::signal(SIGPIPE, SIG_IGN);
    ::close(ends[0]);
    line_output output(ends[1]);
    for (int i = 0; i < 1000; ++i)
        EXPECT_TRUE(output.put(log_severity::info, std::string(4000, 'x')));
    ::close(ends[1]);
}

TEST(log_rate_limiter, reserves_a_part_for_warnings_and_errors)
{
    log_rate_limiter limiter(100);
    const time_point now{std::chrono::hours(1)};
    int infos = 0;
    while (limiter.try_consume(log_severity::info, now))
        ++infos;
    int warnings = 0;
    while (limiter.try_consume(log_severity::warning, now))
        ++warnings;
    int errors = 0;
    while (limiter.try_consume(log_severity::error, now))
        ++errors;
    EXPECT_EQ(infos, 50);
    EXPECT_EQ(warnings, 40);
    EXPECT_EQ(errors, 10);
    EXPECT_FALSE(
        limiter.try_consume(log_severity::info, now + milliseconds(500)));
    EXPECT_TRUE(
        limiter.try_consume(log_severity::info, now + milliseconds(600)));
}

// Within any second, at most twice the lines per second may be logged: a full
// burst, and the lines that become available during that second.
RC_GTEST_PROP(log_rate_limiter, holds_over_any_second,
              (const std::vector<std::uint8_t>& gaps_ms))
{
    constexpr int lines_per_s = 20;
    log_rate_limiter limiter(lines_per_s);
    time_point now{std::chrono::hours(1)};
    std::deque<time_point> taken;
    for (const auto gap : gaps_ms) {
        now += milliseconds(gap % 16);
        while (!taken.empty() && taken.front() < now - milliseconds(1000))
            taken.pop_front();
        for (int i = 0; i < 3; ++i) {
            if (limiter.try_consume(log_severity::error, now))
                taken.push_back(now);
        }
        RC_ASSERT(taken.size() <= 2 * lines_per_s);
    }
}

// A flood of requests exceeds the rate limit of lines. The log must show how
// many lines of which severity are missing.
TEST(logging, reports_lines_dropped_by_the_rate_limit)
{
    std::vector<std::string> lines;
    start_logging({"test", log_severity::info, 10},
                  [&](log_severity, std::string_view line) {
                      lines.emplace_back(line);
                      return true;
                  });
    for (int i = 0; i < 25; ++i)
        log_event(log_severity::info, log_event_name::request_finished);
    log_event(log_severity::warning, log_event_name::request_refused);
    start_logging({}, nullptr);
    ASSERT_EQ(lines.size(), 7U);
    const auto report = parse(lines[5]);
    EXPECT_EQ(report->getValue<std::string>("event"), "log_lines_dropped");
    EXPECT_EQ(report->getValue<int>("infos"), 20);
    EXPECT_EQ(report->getValue<int>("warnings"), 0);
    EXPECT_EQ(parse(lines[6])->getValue<std::string>("event"),
              "request_refused");
}

// The output rejects lines for a while. Rejected lines must be counted, and the
// report of the count must be retried until the output accepts it.
TEST(logging, reports_lines_dropped_by_the_output_once_it_has_room)
{
    std::vector<std::string> lines;
    bool room = false;
    start_logging({"test"}, [&](log_severity, std::string_view line) {
        if (room)
            lines.emplace_back(line);
        return room;
    });
    for (int i = 0; i < 3; ++i)
        log_event(log_severity::error, log_event_name::answer_cut);
    room = true;
    log_event(log_severity::info, log_event_name::request_finished);
    start_logging({}, nullptr);
    ASSERT_EQ(lines.size(), 2U);
    EXPECT_EQ(parse(lines[0])->getValue<int>("errors"), 3);
}

} // namespace
} // namespace cyclamenrun
