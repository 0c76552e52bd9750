#ifndef CYCLAMENRUN_ANSWER_WRITER_HPP
#define CYCLAMENRUN_ANSWER_WRITER_HPP

#include "http_head.hpp"

#include <cstddef>
#include <functional>
#include <string_view>

namespace cyclamenrun
{

/** Writes the answer to one request of a caller. */
class answer_writer
{
public:
    answer_writer() = default;
    answer_writer(const answer_writer&) = delete;
    answer_writer& operator=(const answer_writer&) = delete;
    virtual ~answer_writer() = default;

    /**
     * Writes a complete answer with its length, or without it, so that it ends
     * with the connection.
     */
    virtual void write_whole(http_head head, std::string_view body,
                             http_framing framing = http_framing::length) = 0;
    /**
     * Writes the head of an answer whose body follows in pieces: in chunks, or
     * until the connection ends.
     */
    virtual void begin(http_head head, http_framing framing) = 0;
    virtual void write_piece(std::string_view bytes) = 0;
    /** Ends the body of an answer that begin() started, as its framing does. */
    virtual void finish() = 0;
    /** Resets the connection, so that the caller sees a truncated answer. */
    virtual void abort() = 0;

    /** Bytes that are written but not yet handed to the operating system. */
    virtual std::size_t unsent_bytes() const = 0;
    /**
     * Sets a one-shot callback for when unsent_bytes() drops from above
     * `low_water` to it or below.
     */
    virtual void on_drained(std::size_t low_water,
                            std::function<void()> drained) = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ANSWER_WRITER_HPP
