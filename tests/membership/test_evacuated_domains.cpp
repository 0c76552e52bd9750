#include "evacuated_domains.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

const evacuation_change begun_1{"d1", true};
const evacuation_change ended_1{"d1", false};
const evacuation_change begun_2{"d2", true};

using changes = std::vector<evacuation_change>;

TEST(evacuated_domains, begin_and_end_by_records)
{
    evacuated_domains domains;
    EXPECT_EQ(domains.update({begun_1}, false, 3).changes, changes{begun_1});
    EXPECT_TRUE(domains.contains("d1"));
    EXPECT_FALSE(domains.contains("d2"));
    EXPECT_TRUE(domains.update({begun_1}, false, 4).changes.empty())
        << "the same record again changes nothing";
    EXPECT_EQ(domains.update({begun_2}, false, 5).changes, changes{begun_2});
    EXPECT_EQ(domains.size(), 2U);
    EXPECT_EQ(domains.update({ended_1}, false, 6).changes, changes{ended_1});
    EXPECT_FALSE(domains.contains("d1"));
    EXPECT_TRUE(domains.contains("d2"));
}

// Guards against an evacuation that never ends, since its end was deleted from
// the history, and against one that a page without its record ends.
TEST(evacuated_domains, end_by_a_whole_page_without_them_only)
{
    evacuated_domains domains;
    (void)domains.update({begun_1, begun_2}, true, 5);
    EXPECT_TRUE(domains.update({}, false, 7).changes.empty());
    EXPECT_EQ(domains.size(), 2U);
    EXPECT_EQ(domains.update({begun_2}, true, 9).changes, changes{ended_1});
    EXPECT_EQ(domains.domains(), std::set<std::string>{"d2"});
}

// Guards against an evacuation that an older page cancels or brings back,
// whichever relay it comes from.
TEST(evacuated_domains, ignore_pages_older_than_what_is_known)
{
    evacuated_domains domains;
    (void)domains.update({begun_1}, false, 8);
    EXPECT_TRUE(domains.update({}, true, 7).changes.empty());
    EXPECT_TRUE(domains.update({ended_1}, false, 6).changes.empty());
    EXPECT_TRUE(domains.contains("d1"));
    (void)domains.update({ended_1}, false, 9);
    EXPECT_TRUE(domains.update({begun_1}, true, 8).changes.empty());
    EXPECT_FALSE(domains.contains("d1"));
}

// A page that begins before the known offset and ends after it has records that
// are known: the last of them counts.
TEST(evacuated_domains, apply_the_records_of_a_page_in_order)
{
    evacuated_domains domains;
    (void)domains.update({begun_1}, false, 8);
    EXPECT_TRUE(
        domains.update({begun_1, ended_1, begun_1}, false, 10).changes.empty());
    EXPECT_TRUE(domains.contains("d1"));
    EXPECT_EQ(domains.update({begun_1, ended_1}, false, 12).changes,
              changes{ended_1});
}

// Guards against a gateway that ignores the evacuations of a directory which
// replaces its own and whose offsets are smaller, and against one that forgets
// those in force before it has read the new one.
TEST(evacuated_domains, stay_until_another_directory_was_read)
{
    evacuated_domains domains;
    (void)domains.update({begun_1}, false, 800);
    domains.follow_other_log();
    EXPECT_TRUE(domains.contains("d1"));
    EXPECT_EQ(domains.update({begun_2}, true, 3).changes,
              (changes{ended_1, begun_2}));
}

// Guards against memory that grows with the records of a faulty writer.
TEST(evacuated_domains, are_bounded_in_number)
{
    evacuated_domains domains;
    changes many;
    for (std::size_t i = 0; i < max_evacuated_domains + 2; ++i)
        many.push_back({"x" + std::to_string(i), true});
    const auto result = domains.update(many, true, 1);
    EXPECT_EQ(result.changes.size(), max_evacuated_domains);
    EXPECT_EQ(result.ignored.size(), 2U);
    EXPECT_TRUE(domains.update({{"x0", true}}, false, 2).ignored.empty());
}

} // namespace
} // namespace cyclamenrun
