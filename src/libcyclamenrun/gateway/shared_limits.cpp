#include "shared_limits.hpp"

#include "peers.pb.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Limits of about 25 bytes in one datagram. */
constexpr std::size_t max_limits_sent = 16;
constexpr std::size_t max_id_bytes = 256;

} // namespace

peer_table
make_limits_table(upstream_limits& limits,
                  std::function<void(const limit_observation&)> merged)
{
    peer_table table;
    table.version = [&limits] { return limits.version(); };
    table.write = [&limits](std::uint64_t after, v1::PeerMessage& message,
                            time_point now) {
        const auto batch = limits.oldest_since(after, max_limits_sent, now);
        for (const auto& each : batch.observations) {
            auto& written = *message.add_limits();
            written.set_upstream(each.upstream);
            if (each.limit)
                written.set_limit(*each.limit);
            const auto age = std::chrono::duration_cast<milliseconds>(
                now - each.observed_at);
            written.set_age_ms(static_cast<std::uint32_t>(
                std::max<std::int64_t>(0, age.count())));
        }
        return batch.version;
    };
    table.merge = [&limits, merged = std::move(merged)](
                      const v1::PeerMessage& message, time_point now) {
        for (const auto& read : message.limits()) {
            const bool valid =
                !read.upstream().empty() &&
                read.upstream().size() <= max_id_bytes &&
                (!read.has_limit() ||
                 (std::isfinite(read.limit()) && read.limit() >= 0));
            if (!valid)
                continue;
            limit_observation observed{read.upstream(), std::nullopt,
                                       now - milliseconds(read.age_ms())};
            if (read.has_limit())
                observed.limit = read.limit();
            if (limits.merge(observed, now))
                merged(observed);
        }
    };
    return table;
}

} // namespace cyclamenrun
