#include "http_head.hpp"
#include "http_text.hpp"

#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

TEST(http_head, finds_fields_ignoring_case)
{
    http_head head;
    head.fields = {{"Content-Type", "a"}, {"content-TYPE", "b"}};
    EXPECT_EQ(head.find("CONTENT-TYPE"), "a");
    EXPECT_EQ(head.count("content-type"), 2U);
    EXPECT_FALSE(head.find("Content-Typ"));
}

TEST(http_head, finds_whole_words_in_lists)
{
    EXPECT_TRUE(has_list_word("keep-alive, Close", "close"));
    EXPECT_FALSE(has_list_word("closed", "close"));
    EXPECT_FALSE(has_list_word("", "close"));
}

TEST(http_text, frames_a_message_in_one_way_only)
{
    http_head head;
    head.method = "POST";
    head.target = "/a";
    head.fields = {{"A", "b"}};
    EXPECT_EQ(request_text(head, http_framing::length, 3),
              "POST /a HTTP/1.1\r\nA: b\r\nContent-Length: 3\r\n\r\n");
    EXPECT_EQ(request_text(head, http_framing::none, 0),
              "POST /a HTTP/1.1\r\nA: b\r\n\r\n");
    head.status = 200;
    EXPECT_EQ(response_text(head, http_framing::chunked, 0),
              "HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n");
}

TEST(http_text, never_writes_an_empty_chunk)
{
    // An empty chunk would mark the end of the body.
    EXPECT_EQ(chunk_text(""), "");
    EXPECT_EQ(chunk_text(std::string(26, 'x')),
              "1A\r\n" + std::string(26, 'x') + "\r\n");
}

} // namespace
} // namespace cyclamenrun
