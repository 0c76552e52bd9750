#include "change_sender.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

using apply_outcome = rpc_outcome<v1::ApplyChangeResponse>;
using find_outcome = rpc_outcome<v1::FindChangeResponse>;

apply_outcome accepted(std::uint64_t revision)
{
    v1::ApplyChangeResponse response;
    response.mutable_accepted()->set_revision(revision);
    return response;
}

apply_outcome apply_error(bool may_have_run)
{
    return tl::unexpected(
        rpc_error{rpc_code::unavailable, "gone", may_have_run});
}

find_outcome found(bool is_found, std::uint64_t revision)
{
    v1::FindChangeResponse response;
    response.set_found(is_found);
    response.mutable_outcome()->set_accepted(is_found);
    response.mutable_outcome()->set_revision(revision);
    return response;
}

/**
 * Runs a sender with virtual time and scripted answers; the last answer of each
 * list is repeated.
 */
class change_sender_test : public testing::Test
{
protected:
    apply_outcome send(std::vector<apply_outcome> applies,
                       std::vector<find_outcome> finds)
    {
        v1::ChangeRecord change;
        change.set_change_id("c-1");
        const change_sender sender({
            [&](const v1::ApplyChangeRequest& request, time_point) {
                EXPECT_EQ(request.change().change_id(), "c-1");
                return next(applies, apply_calls);
            },
            [&](const v1::FindChangeRequest& request, time_point) {
                EXPECT_EQ(request.change_id(), "c-1");
                return next(finds, find_calls);
            },
            [this] { return now; },
            [this](milliseconds time) { now += time; },
        });
        return sender.send(change, now + milliseconds(5000));
    }

    template <typename Answer>
    static Answer next(const std::vector<Answer>& answers, std::size_t& count)
    {
        return answers.at(std::min(count++, answers.size() - 1));
    }

    time_point now{};
    std::size_t apply_calls = 0;
    std::size_t find_calls = 0;
};

// Guards against reporting a failure for a change that is in force: the entry
// appends the change and crashes before it answers, and the client treats the
// lost answer as a failed change.
TEST_F(change_sender_test, a_lost_answer_is_resolved_by_the_change_id)
{
    const auto answer = send({apply_error(true)}, {found(true, 7)});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->accepted().revision(), 7U);
    EXPECT_EQ(apply_calls, 1U);
}

// Guards against reporting "nothing was changed" for a change that comes into
// force later: the answer of the first attempt is lost, and the second attempt
// is refused as not run because the entry is not ready. That refusal is valid
// for the second attempt only.
TEST_F(change_sender_test, a_later_refusal_does_not_decide_an_earlier_attempt)
{
    const auto answer =
        send({apply_error(true), apply_error(false)}, {found(false, 0)});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->unknown().change_id(), "c-1");
    EXPECT_GT(apply_calls, 2U);
}

TEST_F(change_sender_test, a_change_that_never_arrived_is_sent_again)
{
    const auto answer =
        send({apply_error(true), accepted(9)}, {found(false, 0)});
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->accepted().revision(), 9U);
}

TEST_F(change_sender_test, a_refusal_of_the_first_attempt_is_final)
{
    const auto answer = send({apply_error(false)}, {found(false, 0)});
    EXPECT_FALSE(answer);
    EXPECT_EQ(apply_calls, 1U);
    EXPECT_EQ(find_calls, 0U);
}

} // namespace
} // namespace cyclamenrun
