#include "answer_integrity.hpp"

#include <array>
#include <gtest/gtest.h>

namespace cyclamenrun
{
namespace
{

enum class body_kind { plain, stream };

/** How the sending of an answer ended. */
enum class sending_end {
    clean,    ///< as the framing says, after the last event
    reset,    ///< the connection was reset
    inside,   ///< in the middle of an event or a chunk, by an orderly close
    short_of, ///< before the announced end, after an event, by an orderly close
    crashed,  ///< after an event, by the end of the process
};

struct table_row {
    http_framing framing;
    body_kind kind;
    sending_end end;
    // What the caller gets if it has nothing, a part in chunks, or a part
    // without framing.
    caller_ending nothing;
    caller_ending chunked;
    caller_ending unframed;
};

using enum http_framing;
using enum body_kind;
using enum sending_end;

constexpr auto with_length = caller_ending::with_length;
constexpr auto last_chunk = caller_ending::with_last_chunk;
constexpr auto close = caller_ending::with_connection;
constexpr auto cut = caller_ending::reset;
constexpr auto unanswered = caller_ending::unanswered;

// A plain answer without framing can't end inside a chunk, and without a length
// nothing shows that an answer is short.
constexpr std::array table{
    table_row{length, plain, clean, with_length, last_chunk, close},
    table_row{length, plain, reset, unanswered, cut, cut},
    table_row{length, plain, short_of, unanswered, cut, cut},
    table_row{length, plain, crashed, unanswered, cut, cut},
    table_row{length, stream, clean, with_length, last_chunk, close},
    table_row{length, stream, reset, unanswered, cut, cut},
    table_row{length, stream, inside, unanswered, cut, cut},
    table_row{length, stream, short_of, unanswered, cut, cut},
    table_row{length, stream, crashed, unanswered, cut, cut},
    table_row{chunked, plain, clean, with_length, last_chunk, close},
    table_row{chunked, plain, reset, unanswered, cut, cut},
    table_row{chunked, plain, inside, unanswered, cut, cut},
    table_row{chunked, plain, short_of, unanswered, cut, cut},
    table_row{chunked, plain, crashed, unanswered, cut, cut},
    table_row{chunked, stream, clean, with_length, last_chunk, close},
    table_row{chunked, stream, reset, unanswered, cut, cut},
    table_row{chunked, stream, inside, unanswered, cut, cut},
    table_row{chunked, stream, short_of, unanswered, cut, cut},
    table_row{chunked, stream, crashed, unanswered, cut, cut},
    table_row{connection, plain, clean, close, cut, close},
    table_row{connection, plain, reset, unanswered, cut, cut},
    table_row{connection, plain, crashed, unanswered, cut, cut},
    table_row{connection, stream, clean, close, cut, close},
    table_row{connection, stream, reset, unanswered, cut, cut},
    table_row{connection, stream, inside, unanswered, cut, cut},
    table_row{connection, stream, crashed, unanswered, cut, cut},
};

answer_receipt receipt_of(const table_row& row)
{
    answer_receipt receipt;
    receipt.framing = row.framing;
    receipt.end = receipt_end::closed;
    if (row.end == reset)
        receipt.end = receipt_end::broken;
    if (row.end == clean && row.framing != connection)
        receipt.end = receipt_end::framed;
    receipt.inside_event = row.end == inside && row.kind == stream;
    receipt.sender_stopped = row.end == crashed;
    return receipt;
}

// Guards against an answer that is broken off and looks complete to its caller.
TEST(answer_integrity, no_answer_claims_more_than_is_known)
{
    for (const auto& row : table) {
        const auto integrity = integrity_of(receipt_of(row));
        const auto at = &row - table.data();
        EXPECT_EQ(ending_for(integrity, std::nullopt), row.nothing) << at;
        EXPECT_EQ(ending_for(integrity, chunked), row.chunked) << at;
        EXPECT_EQ(ending_for(integrity, connection), row.unframed) << at;
    }
}

// Guards against a body that ends as its framing says, but inside an event.
TEST(answer_integrity, a_framed_stream_that_ends_inside_an_event_is_broken_off)
{
    for (const auto framing : {length, chunked})
        EXPECT_EQ(integrity_of({framing, receipt_end::framed, true}),
                  answer_integrity::broken_off);
}

TEST(answer_integrity, only_a_framed_end_proves_an_answer_whole)
{
    for (const auto framing : {length, chunked, connection})
        for (const auto end : {receipt_end::closed, receipt_end::broken})
            for (const bool stopped : {false, true})
                EXPECT_NE(integrity_of({framing, end, false, stopped}),
                          answer_integrity::whole);
}

} // namespace
} // namespace cyclamenrun
