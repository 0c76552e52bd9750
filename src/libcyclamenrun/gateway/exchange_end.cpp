#include "exchange.hpp"

#include <utility>

// How a request ends without an answer of an upstream, and what it releases.

namespace cyclamenrun
{

void exchange::expire()
{
    if (conclusion_.over())
        return;
    // The upstream may never respond; later requests should avoid it.
    if (awaits_response() && conclusion_.has_watched_attempt())
        context_.upstreams.record_failure(attempt_->upstream().id,
                                          context_.reactor->now());
    conclusion_.expire();
}

void exchange::on_caller_disconnected()
{
    if (!conclusion_.over())
        conclusion_.caller_left();
}

bool exchange::refuse_if_stopping()
{
    if (conclusion_.over() || !conclusion_.may_refuse() || !outlasts_process())
        return false;
    conclusion_.refuse(gateway_refusal::stopping);
    return true;
}

void exchange::end_at_exit()
{
    if (!conclusion_.over())
        conclusion_.refuse(gateway_refusal::stopping);
}

void exchange::end()
{
    const auto self = std::exchange(self_, nullptr);
    context_.running.erase(this);
    if (attempt_)
        attempt_->cancel();
    release_attempt();
    permit_.release();
    if (continuation_)
        continuation_->cancel();
    if (search_)
        search_->cancel();
}

} // namespace cyclamenrun
