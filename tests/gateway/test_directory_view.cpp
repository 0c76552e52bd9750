#include "directory_view.hpp"

#include <gtest/gtest.h>
#include <vector>

namespace cyclamenrun
{
namespace
{

boot_time at(int ms)
{
    return boot_time(std::chrono::milliseconds(ms));
}

class directory_views : public testing::Test
{
protected:
    directory_view::wait_id ask(int ms)
    {
        return view.wait_for(at(ms),
                             [this](bool known) { results.push_back(known); });
    }

    directory_view view;
    std::vector<bool> results;
};

// Guards against a conclusion from a read that was sent before the question.
TEST_F(directory_views, are_not_confirmed_by_an_earlier_read)
{
    ask(100);
    view.confirm(at(99));
    EXPECT_TRUE(results.empty());
    view.confirm(at(100));
    EXPECT_EQ(results, std::vector<bool>{true});
    EXPECT_EQ(view.waits(), 0U);
}

TEST_F(directory_views, stay_as_new_as_the_newest_read)
{
    view.confirm(at(200));
    view.confirm(at(100));
    ask(150);
    EXPECT_EQ(results, std::vector<bool>{true});
}

TEST_F(directory_views, answer_each_question_once)
{
    const auto wait = ask(100);
    view.give_up(wait);
    view.give_up(wait);
    view.confirm(at(100));
    EXPECT_EQ(results, std::vector<bool>{false});
}

// Guards against a caller that waits for what is known to be impossible.
TEST_F(directory_views, refuse_questions_while_the_directory_is_lost)
{
    ask(100);
    view.mark_lost();
    ask(100);
    EXPECT_EQ(results, (std::vector<bool>{false, false}));
    view.confirm(at(50));
    ask(100);
    EXPECT_EQ(results.size(), 2U);
    view.confirm(at(100));
    EXPECT_TRUE(results.back());
}

// Guards against memory without a bound while the directory is away.
TEST_F(directory_views, refuse_questions_when_many_wait)
{
    for (int i = 0; i < 5000; ++i)
        ask(100);
    EXPECT_EQ(view.waits() + results.size(), 5000U);
    EXPECT_GT(results.size(), 0U);
    EXPECT_FALSE(results.front());
}

} // namespace
} // namespace cyclamenrun
