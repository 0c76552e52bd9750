#ifndef CYCLAMENRUN_UPSTREAM_CHANNELS_HPP
#define CYCLAMENRUN_UPSTREAM_CHANNELS_HPP

#include "link_reactor.hpp"
#include "tcp_channel.hpp"
#include "upstream_record.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** A connection to an upstream that one request may use. */
struct upstream_channel {
    std::shared_ptr<tcp_channel> channel; ///< empty: the address is unusable
    bool kept = false;                    ///< has served a request before
};

/**
 * Connections to upstreams that are kept between requests. One that gets
 * bytes while nobody waits for any is closed: they belong to no request, and
 * would be taken for the answer to the next. Kept by the upstream's id, since
 * an address may be used again by another upstream.
 */
class upstream_channels
{
public:
    explicit upstream_channels(std::shared_ptr<link_reactor> reactor)
        : reactor_(std::move(reactor))
    {
    }

    /** The caller sets the channel's hooks and owns it from now on. */
    upstream_channel take(const upstream_record& upstream, time_point now);
    /** Always a new connection. */
    upstream_channel open(const upstream_record& upstream,
                          const channel_patience& patience = {});
    /** Gives back a channel that has ended its exchange cleanly. */
    void keep(const std::string& upstream_id,
              std::shared_ptr<tcp_channel> channel, time_point until);
    void forget(const std::string& upstream_id);

    std::size_t size() const;

private:
    struct idle_channel {
        std::shared_ptr<tcp_channel> channel;
        time_point until;
    };
    using idle_channels = std::vector<idle_channel>;

    std::shared_ptr<link_reactor> reactor_;
    std::unordered_map<std::string, idle_channels> idle_;
};

/** Kept connections to one upstream; more are closed. */
inline constexpr std::size_t most_idle_channels = 32;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_CHANNELS_HPP
