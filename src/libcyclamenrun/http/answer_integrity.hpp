#ifndef CYCLAMENRUN_ANSWER_INTEGRITY_HPP
#define CYCLAMENRUN_ANSWER_INTEGRITY_HPP

#include "http_framing.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** How the receipt of an answer's body ended. */
enum class receipt_end : std::uint8_t {
    framed, ///< the end that the framing announced has arrived
    closed, ///< the sender closed the connection before that, in an orderly way
    broken, ///< the connection broke, or invalid bytes arrived
};

/** What is known of an answer whose receipt has ended. */
enum class answer_integrity : std::uint8_t {
    whole,
    unconfirmed, ///< nothing shows that it is whole, nor that a part is missing
    broken_off,  ///< a part is missing
};

std::string_view name_of(answer_integrity integrity);

/** What is known of the receipt of an answer. */
struct answer_receipt {
    http_framing framing = http_framing::length;
    receipt_end end = receipt_end::broken;
    /** The body ended inside an event; always false for a plain answer. */
    bool inside_event = false;
    /** The sender has crashed, or was ordered to stop the answer. */
    bool sender_stopped = false;
};

/**
 * Returns whether an answer is whole. The orderly end of a connection proves
 * nothing: the host of a process that crashes ends its connections in the same
 * way.
 */
answer_integrity integrity_of(const answer_receipt& receipt);

/** How an answer ends to its caller. */
enum class caller_ending : std::uint8_t {
    with_length,     ///< written at once, with its length
    with_last_chunk, ///< the body was begun in chunks
    with_connection, ///< the framing claims nothing: the connection is closed
    reset,           ///< the caller sees that the answer is broken off
    unanswered,      ///< nothing was written: the request can be sent again
};

std::string_view name_of(caller_ending ending);

/**
 * Returns how an answer may end, so that its framing to the caller claims no
 * more than is known. `begun`: framing of the part that the caller has; empty:
 * the caller has nothing.
 */
caller_ending ending_for(answer_integrity integrity,
                         std::optional<http_framing> begun);

/** Whether the caller gets the answer to its end. */
inline bool delivers(caller_ending ending)
{
    return ending != caller_ending::reset &&
           ending != caller_ending::unanswered;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ANSWER_INTEGRITY_HPP
