#include "keyed_records.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun::platform
{
namespace
{

// Guards against an evacuation that ends, since its value can't be decoded: it
// holds with any value.
TEST(newest_pages, tell_an_unreadable_value_from_none)
{
    const auto page = read_newest_page(
        R"({"items":[{"key":"a","value":"*no base64*"},{"key":"b","value":7},)"
        R"({"key":"c","value":null},{"key":"d"},{"key":"e","value":"MQ=="}],)"
        R"("end_offset":5})");
    ASSERT_TRUE(page);
    ASSERT_EQ(page->records.size(), 5U);
    std::string unreadable;
    for (const auto& record : page->records) {
        EXPECT_EQ(record.value.has_value(), record.key == "e");
        if (record.value_unreadable)
            unreadable += record.key;
    }
    EXPECT_EQ(unreadable, "ab");
}

} // namespace
} // namespace cyclamenrun::platform
