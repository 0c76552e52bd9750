#ifndef CYCLAMENRUN_ANSWER_WRITER_HPP
#define CYCLAMENRUN_ANSWER_WRITER_HPP

#include "http_head.hpp"

#include <cstddef>
#include <functional>
#include <string_view>

namespace cyclamenrun
{

/** Where the answer to one request of a caller goes. */
class answer_writer
{
public:
    answer_writer() = default;
    answer_writer(const answer_writer&) = delete;
    answer_writer& operator=(const answer_writer&) = delete;
    virtual ~answer_writer() = default;

    /** The whole answer at once. */
    virtual void whole(http_head head, std::string_view body) = 0;
    /** The first part of an answer whose body follows in pieces. */
    virtual void begin(http_head head) = 0;
    virtual void piece(std::string_view bytes) = 0;
    /** The body is whole. */
    virtual void finish() = 0;
    /** The answer can't be ended: the caller must see that it is cut. */
    virtual void abort() = 0;

    /** Bytes that the caller has not taken yet. */
    virtual std::size_t unsent_bytes() const = 0;
    /** Called when the caller has taken all that was written. */
    virtual void on_drained(std::function<void()> drained) = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ANSWER_WRITER_HPP
