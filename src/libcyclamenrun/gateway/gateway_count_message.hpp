#ifndef CYCLAMENRUN_GATEWAY_COUNT_MESSAGE_HPP
#define CYCLAMENRUN_GATEWAY_COUNT_MESSAGE_HPP

#include "gateway_count_hooks.hpp"
#include "load.pb.h"

#include <cstdint>

namespace cyclamenrun
{

/** Adds what a process remembers to a message. */
template <typename Message>
void write_gateway_counts(const std::vector<past_gateway_count>& counts,
                          Message& message)
{
    for (const auto& each : counts) {
        auto& written = *message.add_gateway_counts();
        written.set_gateways(each.count);
        written.set_age_ms(static_cast<std::uint32_t>(each.age.count()));
    }
}

/** Calls `learn` with each number of gateways that the sender remembers. */
template <typename Message, typename Learn>
void read_gateway_counts(const Message& message, Learn learn)
{
    for (const auto& each : message.gateway_counts())
        learn(past_gateway_count{each.gateways(), milliseconds(each.age_ms())});
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GATEWAY_COUNT_MESSAGE_HPP
