#include "metrics_caller_writer.hpp"

#include "metrics.hpp"
#include "relay_action.hpp"

#include <algorithm>

namespace cyclamenrun
{

metrics_caller_writer::metrics_caller_writer(caller_writer& writer,
                                             metrics& measured,
                                             clock_function clock,
                                             time_point started_at)
    : writer_(writer), metrics_(measured), clock_(std::move(clock)),
      last_token_at_(started_at)
{
}

bool metrics_caller_writer::tokens(const write_tokens& tokens)
{
    const auto now = clock_();
    const auto gap = now - last_token_at_;
    if (has_token_)
        metrics_.record(metric::time_between_tokens, gap, now);
    longest_gap_ = std::max(longest_gap_, gap);
    last_token_at_ = now;
    has_token_ = true;
    return writer_.tokens(tokens);
}

bool metrics_caller_writer::end(const write_end& end)
{
    if (has_token_)
        metrics_.record(metric::longest_wait, longest_gap_, clock_());
    return writer_.end(end);
}

bool metrics_caller_writer::answer(const write_answer& answer)
{
    return writer_.answer(answer);
}

bool metrics_caller_writer::refuse(const refusal& why)
{
    return writer_.refuse(why);
}

bool metrics_caller_writer::is_disconnected()
{
    return writer_.is_disconnected();
}

} // namespace cyclamenrun
