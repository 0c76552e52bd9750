#include "agent_query.hpp"

#include "awake_clock.hpp"

namespace cyclamenrun
{

client_handlers agent_query::handlers()
{
    client_handlers handlers;
    handlers.on_frame = [self = shared_from_this()](std::string frame) {
        self->end(std::move(frame));
    };
    handlers.on_end = [self = shared_from_this()](stream_end) {
        self->end(std::nullopt);
    };
    return handlers;
}

void agent_query::set_stream(std::shared_ptr<client_stream> stream)
{
    const std::scoped_lock lock(mutex_);
    stream_ = std::move(stream);
}

std::optional<std::string> agent_query::wait(time_point deadline)
{
    std::unique_lock lock(mutex_);
    awake_clock awake(steady_now());
    wait_awake(awake, steady_now, deadline, [&](milliseconds part) {
        return ended_cv_.wait_for(lock, part, [this] { return ended_; });
    });
    if (!ended_ && stream_)
        stream_->cancel();
    stream_.reset();
    return answer_;
}

void agent_query::end(std::optional<std::string> answer)
{
    const std::scoped_lock lock(mutex_);
    if (ended_)
        return;
    ended_ = true;
    answer_ = std::move(answer);
    ended_cv_.notify_all();
}

} // namespace cyclamenrun
