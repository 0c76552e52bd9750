#include "http_reader.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun
{
namespace
{

/** The message that a reader passes to its hooks, and the number of calls. */
struct found_message {
    http_head head;
    std::string body;
    int heads = 0;
    int completed = 0;

    http_reader::hooks hooks()
    {
        return {[this](http_head&& read) {
                    head = std::move(read);
                    ++heads;
                },
                [this](std::string_view bytes) { body += bytes; },
                [this] { ++completed; }};
    }
};

constexpr http_limits small_limits{1024, 64};

tl::expected<void, http_problem> read_request(const std::string& text,
                                              found_message& found)
{
    http_reader reader(http_message_kind::request, small_limits, found.hooks());
    return reader.feed(text);
}

/** Expects the reader to reject the request, and returns the problem. */
http_problem problem_of(const std::string& text)
{
    found_message found;
    const auto read = read_request(text, found);
    EXPECT_FALSE(read) << text;
    EXPECT_EQ(found.completed, 0) << text;
    return read ? http_problem::truncated : read.error();
}

TEST(http_reader, reads_a_request_byte_by_byte)
{
    const std::string text = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    found_message found;
    http_reader reader(http_message_kind::request, {}, found.hooks());
    for (const char byte : text) {
        EXPECT_FALSE(reader.complete());
        ASSERT_TRUE(reader.feed({&byte, 1}));
    }
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(found.head.method, "POST");
    EXPECT_EQ(found.head.target, "/a/b?c=d");
    EXPECT_EQ(found.head.find("host"), "h.example");
    EXPECT_EQ(found.body, "abcde");
}

TEST(http_reader, buffers_the_next_message_until_it_is_requested)
{
    found_message found;
    http_reader reader(http_message_kind::request, {}, found.hooks());
    ASSERT_TRUE(reader.feed("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"));
    EXPECT_EQ(found.head.target, "/1");
    EXPECT_EQ(found.heads, 1);
    EXPECT_TRUE(reader.has_surplus());
    ASSERT_TRUE(reader.next_message());
    EXPECT_EQ(found.head.target, "/2");
    EXPECT_FALSE(reader.has_surplus());
}

// Guards against request smuggling: a caller hides a second request in the body
// of the first. Two servers that disagree about where the first request ends
// would run the hidden one as another caller's. The reader rejects every
// message with ambiguous framing.
TEST(http_reader, rejects_messages_with_ambiguous_framing)
{
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    EXPECT_EQ(problem_of(post + "Content-Length: 3\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"),
              http_problem::malformed);
    EXPECT_EQ(problem_of(post + "Transfer-Encoding: chunked\r\n"
                                "Content-Length: 3\r\n\r\n0\r\n\r\n"),
              http_problem::malformed);
    EXPECT_EQ(problem_of(post + "Content-Length: 3\r\n"
                                "Content-Length: 5\r\n\r\nabcde"),
              http_problem::malformed);
    EXPECT_EQ(problem_of(post + "Transfer-Encoding: xchunked\r\n\r\n"),
              http_problem::malformed);
    EXPECT_EQ(problem_of(post + "Transfer-Encoding: chunked\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n"),
              http_problem::malformed);
    EXPECT_EQ(problem_of(post + "X: a\r\n b\r\n\r\n"), http_problem::malformed);
    EXPECT_EQ(problem_of(post + "Transfer-Encoding : chunked\r\n\r\n"),
              http_problem::malformed);
    EXPECT_EQ(problem_of(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
              http_problem::malformed);
    EXPECT_EQ(problem_of(post + "Content-Length: -1\r\n\r\n"),
              http_problem::malformed);
}

TEST(http_reader, enforces_message_limits)
{
    EXPECT_EQ(problem_of("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x')),
              http_problem::header_too_long);
    EXPECT_EQ(problem_of("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"),
              http_problem::body_too_long);
}

// Guards against bytes that are buffered without a bound because no unit of the
// message has arrived: the parser has no bound for lines and trailers.
TEST(http_reader, bounds_what_is_neither_head_nor_body)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const std::string line(2000, '0');
    for (const std::string& rest :
         {line, "1;x=" + line, "0\r\nX: " + line, "1\r\nx\r\n0\r\n" + line}) {
        found_message found;
        http_reader reader(http_message_kind::request, small_limits,
                           found.hooks());
        ASSERT_TRUE(reader.feed(head));
        std::optional<http_problem> problem;
        for (const char byte : rest) {
            const auto read = reader.feed({&byte, 1});
            if (!read) {
                problem = read.error();
                break;
            }
        }
        EXPECT_EQ(problem, http_problem::framing_too_long) << rest;
        EXPECT_LE(reader.pending_bytes(), small_limits.header_bytes + 1);
    }
}

// Guards against a body that is nearly all framing, each part of which is
// within its bound.
TEST(http_reader, bounds_framing_in_proportion_to_the_body)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const auto read_chunks = [&](const std::string& chunk) {
        http_reader reader(http_message_kind::request,
                           {1024, std::size_t(4) << 20}, {});
        auto read = reader.feed(head);
        for (int i = 0; i < 100000 && read; ++i)
            read = reader.feed(chunk);
        return read;
    };
    EXPECT_TRUE(read_chunks("1\r\nx\r\n"));
    EXPECT_EQ(read_chunks("1;" + std::string(500, 'x') + "\r\nx\r\n"),
              tl::unexpected(http_problem::framing_too_long));
}

// An answer without a length is complete only when its connection ends in an
// orderly way. Otherwise an answer cut off by the crash of the upstream's host
// would pass as complete.
TEST(http_reader, completes_a_body_at_the_end_of_the_connection)
{
    found_message found;
    http_reader reader(http_message_kind::response, {}, found.hooks());
    ASSERT_TRUE(reader.feed("HTTP/1.1 200 OK\r\n\r\nabc"));
    EXPECT_TRUE(found.head.ends_with_connection);
    EXPECT_FALSE(reader.complete());
    ASSERT_TRUE(reader.end_of_connection());
    EXPECT_TRUE(reader.complete());
    EXPECT_EQ(found.body, "abc");
}

TEST(http_reader, reports_a_truncated_response)
{
    for (const std::string text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
          "HTTP/1.1 20"}) {
        found_message found;
        http_reader reader(http_message_kind::response, {}, found.hooks());
        ASSERT_TRUE(reader.feed(text));
        const auto end = reader.end_of_connection();
        ASSERT_FALSE(end) << text;
        EXPECT_EQ(end.error(), http_problem::truncated);
        EXPECT_FALSE(reader.complete());
    }
}

TEST(http_reader, expects_no_body_in_an_answer_to_head)
{
    found_message found;
    http_reader reader(http_message_kind::response, {}, found.hooks());
    reader.expect_no_body();
    ASSERT_TRUE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
    EXPECT_TRUE(reader.complete());
}

RC_GTEST_PROP(http_reader, reads_a_message_split_at_any_byte, ())
{
    const auto body =
        *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
    const std::string text =
        "POST /p HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\nA: b\r\n\r\n" + body;
    const auto cut = *rc::gen::inRange<std::size_t>(0, text.size());
    found_message found;
    http_reader reader(http_message_kind::request, {}, found.hooks());
    RC_ASSERT(reader.feed(text.substr(0, cut)).has_value());
    RC_ASSERT(reader.feed(text.substr(cut)).has_value());
    RC_ASSERT(reader.complete());
    RC_ASSERT(found.body == body);
}

RC_GTEST_PROP(http_reader, completes_at_most_one_message_of_any_bytes,
              (const std::string& bytes))
{
    for (const auto kind :
         {http_message_kind::request, http_message_kind::response}) {
        found_message found;
        http_reader reader(kind, small_limits, found.hooks());
        if (reader.feed(bytes))
            (void)reader.end_of_connection();
        RC_ASSERT(found.completed <= 1);
    }
}

} // namespace
} // namespace cyclamenrun
