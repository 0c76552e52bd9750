#ifndef CYCLAMENRUN_METRICS_CALLER_WRITER_HPP
#define CYCLAMENRUN_METRICS_CALLER_WRITER_HPP

#include "caller_writer.hpp"
#include "clock.hpp"

#include <optional>

namespace cyclamenrun
{

class metrics;

/**
 * Forwards writes to another writer and records the gaps between tokens, and
 * the longest of them with the wait for the first token included.
 */
class metrics_caller_writer : public caller_writer
{
public:
    /** `started_at` is when the request arrived. */
    metrics_caller_writer(caller_writer& writer, metrics& measured,
                          clock_function clock, time_point started_at);

    bool tokens(const write_tokens& tokens) override;
    bool end(const write_end& end) override;
    bool answer(const write_answer& answer) override;
    bool refuse(const refusal& why) override;
    bool is_disconnected() override;

private:
    caller_writer& writer_;
    metrics& metrics_;
    clock_function clock_;
    time_point last_token_at_;
    bool has_token_ = false;
    duration longest_gap_{};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_METRICS_CALLER_WRITER_HPP
