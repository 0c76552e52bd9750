#include "link_server_connection.hpp"

#include "digest.hpp"
#include "link_session.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Streams of a peer before authentication: /hello and /prove. */
constexpr std::size_t handshake_streams = 2;

} // namespace

link_server_connection::link_server_connection(
    std::shared_ptr<link_reactor> reactor,
    std::shared_ptr<const link_server_context> context,
    const Poco::Net::StreamSocket& socket, hooks owner_hooks)
    : link_connection(std::move(reactor), context->limits, socket),
      context_(std::move(context)), peer_(std::make_shared<const std::string>(
                                        socket.peerAddress().toString())),
      hooks_(std::move(owner_hooks)),
      handshake_deadline_(this->reactor().awake_now() +
                          limits().handshake_timeout)
{
}

void link_server_connection::start()
{
    begin(make_server_session(*this), false);
}

void link_server_connection::connected() {}

std::shared_ptr<server_stream>
link_server_connection::find(std::int32_t stream) const
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second;
}

void link_server_connection::stream_opened(std::int32_t stream)
{
    const bool open = phase_ == phase::open;
    if (streams_.size() >= (open ? limits().max_streams : handshake_streams)) {
        reset_stream(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    // A proof is as large as a nonce.
    const std::size_t max_request_bytes =
        open ? limits().max_frame_bytes : nonce_bytes;
    const auto self =
        std::static_pointer_cast<link_server_connection>(shared_from_this());
    streams_[stream] = std::shared_ptr<server_stream>(new server_stream(
        shared_reactor(), peer_, self, stream, max_request_bytes));
    if (open && streams_.size() == 1)
        check_keepalive();
}

void link_server_connection::header_received(std::int32_t stream,
                                             std::string_view name,
                                             std::string_view value)
{
    const auto found = find(stream);
    if (!found)
        return;
    found->header_bytes_ += name.size() + value.size();
    if (found->header_bytes_ > max_header_bytes) {
        streams_.erase(stream);
        reset_stream(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (name == ":path")
        found->path_ = value;
}

void link_server_connection::data_received(std::int32_t stream,
                                           std::string_view data)
{
    return_stream_credit(stream, data.size());
    const auto found = find(stream);
    if (!found || found->handle_data(data))
        return;
    // The handler was not called. This code tells the client that its request
    // was too large or malformed and had no effect.
    streams_.erase(stream);
    reset_stream(stream, NGHTTP2_ENHANCE_YOUR_CALM);
}

void link_server_connection::stream_half_closed(std::int32_t stream)
{
    const auto found = find(stream);
    if (!found)
        return;
    if (!found->request_complete()) {
        streams_.erase(stream);
        reset_stream(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (phase_ == phase::open)
        context_->handler(found);
    else
        handshake(*found);
}

void link_server_connection::handshake(server_stream& stream)
{
    if (phase_ == phase::awaiting_hello && stream.path() == hello_path)
        answer_hello(stream);
    else if (phase_ == phase::awaiting_proof && stream.path() == prove_path)
        check_proof(stream);
    else
        refuse_peer(stream.id_);
}

void link_server_connection::answer_hello(server_stream& stream)
{
    if (stream.request().size() != nonce_bytes) {
        refuse_peer(stream.id_);
        return;
    }
    nonces_ = {stream.request(), random_bytes(nonce_bytes)};
    phase_ = phase::awaiting_proof;
    stream.respond_once(nonces_.server +
                        server_proof(context_->link_key, nonces_));
}

void link_server_connection::check_proof(server_stream& stream)
{
    if (!constant_time_equal(stream.request(),
                             client_proof(context_->link_key, nonces_))) {
        refuse_peer(stream.id_);
        return;
    }
    phase_ = phase::open;
    nonces_ = {};
    stream.respond_once({});
    hooks_.authenticated();
    check_keepalive();
}

void link_server_connection::refuse_peer(std::int32_t stream)
{
    const std::array headers{header(":status", "401")};
    nghttp2_submit_response(session(), stream, headers.data(), headers.size(),
                            nullptr);
    nghttp2_session_terminate_session(session(), NGHTTP2_NO_ERROR);
    flush_later();
}

void link_server_connection::start_answer(std::int32_t stream)
{
    const std::array headers{header(":status", "200")};
    const nghttp2_data_provider provider = data_provider();
    nghttp2_submit_response(session(), stream, headers.data(), headers.size(),
                            &provider);
    flush_later();
}

void link_server_connection::resume_answer(std::int32_t stream)
{
    // nghttp2 returns an error if the stream's data is not deferred; nghttp2
    // then reads the data without being resumed.
    nghttp2_session_resume_data(session(), stream);
    flush_later();
}

link_chunk link_server_connection::read_data(std::int32_t stream,
                                             std::span<char> room)
{
    const auto found = find(stream);
    if (!found)
        return {.broken = true};
    return found->read(room, limits().max_frame_bytes);
}

void link_server_connection::stream_closed(std::int32_t stream,
                                           std::uint32_t /*error_code*/)
{
    const auto found = find(stream);
    if (!found)
        return;
    streams_.erase(stream);
    found->close();
}

void link_server_connection::request_sent(std::int32_t /*stream*/) {}

void link_server_connection::goaway_received() {}

void link_server_connection::closed(link_failure /*failure*/)
{
    const auto streams = std::exchange(streams_, {});
    for (const auto& [id, stream] : streams)
        stream->close();
    hooks_.closed();
}

bool link_server_connection::busy() const
{
    return std::any_of(streams_.begin(), streams_.end(), [this](auto& each) {
        return each.second->path() != limits().long_poll_path;
    });
}

void link_server_connection::check_deadlines(time_point now)
{
    if (phase_ == phase::open)
        return;
    if (now >= handshake_deadline_)
        fail(link_failure::timed_out);
    else
        schedule_check(handshake_deadline_);
}

} // namespace cyclamenrun
