#include "link_messages.hpp"

namespace cyclamenrun
{

void write_message(const generation_id& id, link::GenerationId& message)
{
    message.set_upstream(id.upstream);
    message.set_incarnation(id.incarnation);
    message.set_sequence(id.sequence);
    message.set_secret(id.secret);
}

generation_id read_message(const link::GenerationId& message)
{
    return {message.upstream(), message.incarnation(), message.sequence(),
            message.secret()};
}

void write_message(const refusal& why, link::Refused& message)
{
    message.set_kind(static_cast<std::uint32_t>(why.kind));
    message.set_reason(static_cast<std::uint32_t>(why.reason));
    message.set_detail(why.detail);
    if (why.retry_after)
        message.set_retry_after_ms(
            static_cast<std::uint64_t>(why.retry_after->count()));
}

refusal read_message(const link::Refused& message)
{
    refusal why;
    why.kind =
        refusal_kind_of(message.kind()).value_or(refusal_kind::outcome_unknown);
    why.reason =
        refusal_reason_of(message.reason()).value_or(refusal_reason::internal);
    if (message.retry_after_ms() > 0)
        why.retry_after = milliseconds(message.retry_after_ms());
    why.detail = message.detail();
    return why;
}

} // namespace cyclamenrun
