#include "caller_writer.hpp"
#include "logging.hpp"
#include "logging_platform_log.hpp"
#include "metrics.hpp"
#include "metrics_caller_writer.hpp"
#include "vm_list_change_logger.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using testing::_;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::NiceMock;
using testing::Return;

/** Captures the lines that a test logs. */
class instrumentation_test : public testing::Test
{
protected:
    instrumentation_test()
    {
        start_logging({"test"}, [this](log_severity, std::string_view line) {
            lines.emplace_back(line);
            return true;
        });
    }
    ~instrumentation_test() override { start_logging({}, nullptr); }

    std::vector<std::string> lines;
    time_point now{};
    metrics measured;
};

class mock_log : public platform_log
{
public:
    using append_answer = tl::expected<std::uint64_t, log_error>;
    using read_answer = tl::expected<log_page, log_error>;
    MOCK_METHOD(append_answer, append, (std::string_view), (override));
    MOCK_METHOD(read_answer, read, (std::uint64_t, std::uint32_t, milliseconds),
                (override));
};

class mock_writer : public caller_writer
{
public:
    MOCK_METHOD(bool, tokens, (const write_tokens&), (override));
    MOCK_METHOD(bool, end, (const write_end&), (override));
    MOCK_METHOD(bool, answer, (const write_answer&), (override));
    MOCK_METHOD(bool, refuse, (const refusal&), (override));
    MOCK_METHOD(bool, is_disconnected, (), (override));
};

// The platform's log is unavailable for an hour while it is read continuously.
// The outage must be logged as one line at its start and one at its end, not as
// one line per attempt. A rate limit does not count as an outage.
TEST_F(instrumentation_test, an_outage_of_the_log_is_logged_in_two_lines)
{
    NiceMock<mock_log> inner;
    logging_platform_log log(inner, measured, [this] { return now; });
    const auto failing = [](log_failure failure) {
        return tl::unexpected(log_error{failure});
    };
    EXPECT_CALL(inner, append(_))
        .WillOnce(
            Return(mock_log::append_answer(failing(log_failure::rate_limited))))
        .WillOnce(Return(7U));
    EXPECT_CALL(inner, read(_, _, _))
        .WillOnce(
            Return(mock_log::read_answer(failing(log_failure::unavailable))))
        .WillRepeatedly(
            Return(mock_log::read_answer(failing(log_failure::timed_out))));
    EXPECT_FALSE(log.append("a"));
    for (int attempt = 0; attempt < 100; ++attempt)
        EXPECT_FALSE(log.read(0, 1, milliseconds(0)));
    EXPECT_TRUE(log.append("b"));
    EXPECT_THAT(lines, ElementsAre(HasSubstr("log_service_unavailable"),
                                   HasSubstr("log_service_recovered")));
    EXPECT_EQ(measured.summary(metric::log_append_duration, now).count, 1U);
}

TEST_F(instrumentation_test, changes_of_the_list_of_vms_are_logged)
{
    vm_list_change_logger logger;
    vm first{"vm-1", "127.0.0.1:1", "r", "d", "s", vm_state::live};
    vm second{"vm-2", "127.0.0.1:2", "r", "d", "s", vm_state::live};
    logger.log_changes({1, {first}});
    logger.log_changes({2, {first, second}});
    first.state = vm_state::leaving;
    logger.log_changes({3, {first, second}});
    logger.log_changes({4, {second}});
    EXPECT_THAT(lines, ElementsAre(HasSubstr("vm_list_read"),
                                   HasSubstr("upstream_found"),
                                   HasSubstr("upstream_leaving"),
                                   HasSubstr("upstream_removed")));
}

TEST_F(instrumentation_test,
       gaps_between_tokens_and_the_longest_wait_are_measured)
{
    NiceMock<mock_writer> inner;
    ON_CALL(inner, tokens(_)).WillByDefault(Return(true));
    metrics_caller_writer writer(
        inner, measured, [this] { return now; }, now);
    for (const int gap : {900, 30, 50}) {
        now += milliseconds(gap);
        EXPECT_TRUE(writer.tokens({}));
    }
    writer.end({});
    const auto gaps = measured.summary(metric::time_between_tokens, now);
    EXPECT_EQ(gaps.count, 2U);
    EXPECT_EQ(gaps.maximum, 50);
    EXPECT_EQ(measured.summary(metric::longest_wait, now).maximum, 900);
}

} // namespace
} // namespace cyclamenrun
