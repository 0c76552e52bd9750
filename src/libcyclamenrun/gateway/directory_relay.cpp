#include "directory_relay.hpp"

#include "directory.pb.h"
#include "directory_messages.hpp"
#include "link_loop.hpp"
#include "message_reader.hpp"

#include <Poco/Net/SocketAddress.h>
#include <utility>

namespace cyclamenrun
{

namespace
{

/**
 * Least time between two reads of the upstreams. The directory answers each
 * read at once, because upstreams send heartbeats all the time.
 */
constexpr milliseconds upstream_read_interval{450};

coalescer_timing upstream_timing()
{
    coalescer_timing timing;
    timing.pause = upstream_read_interval;
    return timing;
}

/** Answers a call on its stream; removes the call if the stream closes. */
template <typename Calls, typename Encoded>
void relay_call(Calls& calls, Encoded& encoded, const v1::DirectoryCall& call,
                const std::shared_ptr<server_stream>& stream)
{
    std::optional<std::uint64_t> from;
    if (call.has_from())
        from = call.from();
    const auto id =
        calls.add_call(from, milliseconds(call.wait_ms()),
                       [stream, &encoded](const auto& result) {
                           stream->respond_once(encoded.bytes_of(result));
                       });
    if (!id)
        return;
    stream->on_closed([weak = calls.weak_from_this(), id = *id] {
        if (const auto self = weak.lock())
            self->remove_call(id);
    });
}

} // namespace

link_limits directory_link_limits()
{
    constexpr milliseconds busy_ping_delay{400};
    constexpr milliseconds ping_timeout{500};
    constexpr milliseconds handshake_timeout{800};
    constexpr std::uint32_t streams_per_gateway = 8;
    link_limits limits;
    limits.max_streams = streams_per_gateway;
    limits.busy_ping_after = busy_ping_delay;
    limits.ping_timeout = ping_timeout;
    limits.handshake_timeout = handshake_timeout;
    return limits;
}

directory_relay::directory_relay(link_loop& loop, const ip_endpoint& listen,
                                 const relay_feeds& feeds,
                                 exported_metrics& metrics)
    : configurations_(
          std::make_shared<relayed_calls<configuration_text_traits>>(
              loop.reactor(), "configurations", feeds.configurations,
              coalescer_timing(), metrics)),
      upstreams_(std::make_shared<relayed_calls<upstream_record_traits>>(
          loop.reactor(), "upstreams", feeds.upstreams, upstream_timing(),
          metrics)),
      server_(std::make_unique<link_server>(
          loop, Poco::Net::SocketAddress(listen.host, listen.port),
          std::string(), directory_link_limits(),
          [this](const std::shared_ptr<server_stream>& stream) {
              handle_stream(stream);
          }))
{
}

directory_relay::~directory_relay()
{
    server_.reset();
}

ip_endpoint directory_relay::address() const
{
    return {server_->address().host().toString(), server_->address().port()};
}

void directory_relay::leave()
{
    configurations_->leave();
    upstreams_->leave();
}

void directory_relay::handle_stream(
    const std::shared_ptr<server_stream>& stream)
{
    v1::DirectoryCall call;
    const bool readable = stream->path() == directory_path &&
                          read_checked(stream->request(), call).has_value();
    if (readable && call.feed() == v1::DIRECTORY_FEED_CONFIGURATIONS)
        relay_call(*configurations_, encoded_configurations_, call, stream);
    else if (readable && call.feed() == v1::DIRECTORY_FEED_UPSTREAMS)
        relay_call(*upstreams_, encoded_upstreams_, call, stream);
    else
        stream->respond_once(refusal_bytes(directory_problem::unavailable));
}

} // namespace cyclamenrun
