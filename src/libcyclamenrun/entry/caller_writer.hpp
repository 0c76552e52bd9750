#ifndef CYCLAMENRUN_CALLER_WRITER_HPP
#define CYCLAMENRUN_CALLER_WRITER_HPP

#include "refusal.hpp"
#include "relay_action.hpp"

namespace cyclamenrun
{

/**
 * Writes the answer to a request, or its refusal, to the caller. A write
 * returns false if the caller has disconnected or reads too slowly; no further
 * write may follow.
 */
class caller_writer
{
public:
    caller_writer() = default;
    caller_writer(const caller_writer&) = delete;
    caller_writer& operator=(const caller_writer&) = delete;
    virtual ~caller_writer() = default;

    virtual bool tokens(const write_tokens& tokens) = 0;
    virtual bool end(const write_end& end) = 0;
    virtual bool answer(const write_answer& answer) = 0;
    virtual bool refuse(const refusal& why) = 0;
    /** True if the caller has closed its connection. */
    virtual bool is_disconnected() = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CALLER_WRITER_HPP
