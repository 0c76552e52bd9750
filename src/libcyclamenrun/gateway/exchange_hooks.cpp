#include "exchange.hpp"

#include <utility>

// The hooks by which the search and the continuation of a request call the
// exchange that owns them.

namespace cyclamenrun
{

upstream_search::hooks exchange::search_hooks()
{
    upstream_search::hooks on;
    on.may_send = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && self->may_send();
    };
    on.refuse_without_room = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return !self || self->conclusion_.refuse_if_evacuated() ||
               self->conclusion_.refuse_without_room();
    };
    on.refuse_if_stopping = [weak = weak_from_this()] {
        const auto self = weak.lock();
        return !self || self->refuse_if_stopping();
    };
    on.found = [weak = weak_from_this()](const upstream_record& upstream) {
        if (const auto self = weak.lock())
            self->send(upstream, std::nullopt);
    };
    on.restart = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->dispatch();
    };
    return on;
}

generation_continuation::hooks exchange::continuation_hooks()
{
    generation_continuation::hooks on;
    on.current = [this] { return attempt_ ? &attempt_->upstream() : nullptr; };
    on.drop_attempt = [this] { drop_attempt(); };
    on.admit = [this] { return permit_.admit(); };
    on.send = [this](const upstream_record& upstream,
                     const continuation& from) { return send(upstream, from); };
    on.post_at = [weak = weak_from_this()](time_point at,
                                           std::function<void()> call) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->context_.reactor->post_at(at, [weak, call = std::move(call)] {
            const auto waiting = weak.lock();
            if (waiting && !waiting->conclusion_.over())
                call();
        });
    };
    on.lost = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->continue_after(attempt_result::lost);
    };
    on.unstoppable = [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->conclusion_.conclude(attempt_step::cut);
    };
    return on;
}

} // namespace cyclamenrun
