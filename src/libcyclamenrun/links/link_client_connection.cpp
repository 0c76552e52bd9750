#include "link_client_connection.hpp"

#include "digest.hpp"
#include "link_session.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr std::string_view authority = "cyclamenrun";

/** Bound on answers before authentication: a nonce and a proof. */
constexpr std::size_t handshake_frame_bytes = 64;

/** A connection is replaced when its stream ids reach this value. */
constexpr std::uint32_t max_stream_id = 0x7fff0000;

/** Returns the failure of a stream that the peer did not end cleanly. */
link_failure failure_of(std::uint32_t error_code)
{
    switch (error_code) {
    case NGHTTP2_NO_ERROR:
    case NGHTTP2_PROTOCOL_ERROR:
        return link_failure::protocol_error;
    case NGHTTP2_ENHANCE_YOUR_CALM:
        return link_failure::too_large;
    default:
        return link_failure::reset_by_peer;
    }
}

/** Whether the code means that the peer did not process the request. */
bool proves_not_run(std::uint32_t error_code)
{
    return error_code == NGHTTP2_REFUSED_STREAM ||
           error_code == NGHTTP2_ENHANCE_YOUR_CALM;
}

} // namespace

link_client_connection::link_client_connection(
    std::shared_ptr<link_reactor> reactor, const link_limits& limits,
    const Poco::Net::StreamSocket& socket, std::string link_key,
    hooks owner_hooks)
    : link_connection(std::move(reactor), limits, socket),
      link_key_(std::move(link_key)), hooks_(std::move(owner_hooks)),
      handshake_deadline_(this->reactor().awake_now() +
                          limits.handshake_timeout)
{
}

void link_client_connection::start()
{
    begin(make_client_session(*this), true);
}

void link_client_connection::connected()
{
    phase_ = phase::hello;
    nonces_.client = random_bytes(nonce_bytes);
    send_handshake(hello_path, nonces_.client,
                   &link_client_connection::handle_hello_answer);
}

void link_client_connection::send_handshake(
    std::string_view path, std::string_view frame,
    void (link_client_connection::*on_answer)(std::string_view))
{
    std::string request;
    append_frame(request, frame);
    // The connection owns the stream, so `this` outlives the handler.
    client_handlers handlers;
    handlers.on_frame = [this, on_answer](const std::string& answer) {
        (this->*on_answer)(answer);
    };
    link_limits bounds = limits();
    bounds.max_frame_bytes = handshake_frame_bytes;
    const auto stream = std::shared_ptr<client_stream>(
        new client_stream(shared_reactor(), std::string(path),
                          std::move(request), std::move(handlers), bounds));
    submit(stream);
    handshake_stream_ = stream->id_;
}

void link_client_connection::handle_hello_answer(std::string_view answer)
{
    if (phase_ != phase::hello || answer.size() < nonce_bytes) {
        fail(link_failure::protocol_error);
        return;
    }
    nonces_.server = answer.substr(0, nonce_bytes);
    if (!constant_time_equal(answer.substr(nonce_bytes),
                             server_proof(link_key_, nonces_))) {
        fail(link_failure::unauthenticated);
        return;
    }
    phase_ = phase::prove;
    send_handshake(prove_path, client_proof(link_key_, nonces_),
                   &link_client_connection::handle_proof_answer);
}

void link_client_connection::handle_proof_answer(std::string_view /*answer*/)
{
    if (phase_ != phase::prove) {
        fail(link_failure::protocol_error);
        return;
    }
    phase_ = phase::open;
    nonces_ = {};
    hooks_.ready();
    for (const auto& stream : std::exchange(waiting_, {}))
        open(stream);
    check_keepalive();
}

void link_client_connection::open(const std::shared_ptr<client_stream>& stream)
{
    stream->connection_ =
        std::static_pointer_cast<link_client_connection>(shared_from_this());
    if (phase_ != phase::open)
        waiting_.push_back(stream);
    else if (!submit(stream))
        stream->end({.failure = link_failure::protocol_error});
}

bool link_client_connection::submit(
    const std::shared_ptr<client_stream>& stream)
{
    const std::array headers{
        header(":method", "POST"),
        header(":scheme", "http"),
        header(":authority", authority),
        header(":path", stream->path_),
    };
    const nghttp2_data_provider provider = data_provider();
    const std::int32_t id = nghttp2_submit_request(
        session(), nullptr, headers.data(), headers.size(), &provider, nullptr);
    if (id < 0)
        return false;
    stream->id_ = id;
    streams_[id] = stream;
    flush_later();
    if (phase_ == phase::open && streams_.size() == 1)
        check_keepalive();
    return true;
}

std::shared_ptr<client_stream>
link_client_connection::find(std::int32_t stream) const
{
    const auto found = streams_.find(stream);
    return found == streams_.end() ? nullptr : found->second;
}

std::shared_ptr<client_stream>
link_client_connection::remove(std::int32_t stream)
{
    const auto node = streams_.extract(stream);
    if (node.empty())
        return nullptr;
    if (streams_.empty()) {
        idle_deadline_ = reactor().awake_now() + limits().idle_timeout;
        schedule_check(idle_deadline_);
    }
    if (streams_.empty() && retired_)
        shut_down();
    return node.mapped();
}

bool link_client_connection::may_have_been_sent(
    const client_stream& stream) const
{
    return stream.request_position_ &&
           output().sent() > *stream.request_position_;
}

void link_client_connection::cancel(
    const std::shared_ptr<client_stream>& stream)
{
    if (std::erase(waiting_, stream) == 0 && remove(stream->id_))
        reset_stream(stream->id_, NGHTTP2_CANCEL);
    stream->end({.failure = link_failure::cancelled,
                 .request_may_have_run = may_have_been_sent(*stream)});
}

void link_client_connection::cancel_all()
{
    fail(link_failure::cancelled);
}

void link_client_connection::return_credit(std::int32_t stream,
                                           std::size_t bytes)
{
    return_stream_credit(stream, bytes);
}

std::size_t link_client_connection::streams() const
{
    const std::size_t all = streams_.size() + waiting_.size();
    return all - streams_.count(handshake_stream_);
}

bool link_client_connection::accepts_streams() const
{
    return !shutting_down_ &&
           nghttp2_session_get_next_stream_id(session()) < max_stream_id;
}

void link_client_connection::retire()
{
    retired_ = true;
    if (streams() == 0 || phase_ == phase::connecting)
        shut_down();
}

void link_client_connection::shut_down()
{
    if (std::exchange(shutting_down_, true))
        return;
    hooks_.unusable();
    if (phase_ == phase::connecting)
        fail(link_failure::cancelled);
    nghttp2_session_terminate_session(session(), NGHTTP2_NO_ERROR);
    flush_later();
}

void link_client_connection::stream_opened(std::int32_t /*stream*/) {}

void link_client_connection::header_received(std::int32_t /*stream*/,
                                             std::string_view name,
                                             std::string_view value)
{
    if (name == ":status" && value == "401")
        fail(link_failure::unauthenticated);
}

void link_client_connection::data_received(std::int32_t stream,
                                           std::string_view data)
{
    const auto found = find(stream);
    if (!found || found->handle_data(data))
        return;
    remove(stream);
    reset_stream(stream, NGHTTP2_CANCEL);
    found->end({.failure = link_failure::too_large,
                .request_may_have_run = may_have_been_sent(*found)});
}

void link_client_connection::stream_half_closed(std::int32_t stream)
{
    if (const auto found = find(stream))
        found->answer_ended_ = true;
}

void link_client_connection::stream_closed(std::int32_t stream,
                                           std::uint32_t error_code)
{
    const auto found = remove(stream);
    if (!found)
        return;
    stream_end how;
    how.clean = error_code == NGHTTP2_NO_ERROR && found->answer_ended_ &&
                !found->decoder_.mid_frame();
    how.failure = failure_of(error_code);
    how.request_may_have_run =
        may_have_been_sent(*found) && !proves_not_run(error_code);
    found->end(how);
}

void link_client_connection::request_sent(std::int32_t stream)
{
    if (const auto found = find(stream))
        found->request_position_ = output().end();
}

void link_client_connection::goaway_received()
{
    shutting_down_ = true;
    hooks_.unusable();
}

link_chunk link_client_connection::read_data(std::int32_t stream,
                                             std::span<char> room)
{
    const auto found = find(stream);
    if (!found)
        return {.broken = true};
    return found->read_request(room);
}

void link_client_connection::closed(link_failure failure)
{
    shutting_down_ = true;
    hooks_.unusable();
    for (const auto& stream : std::exchange(waiting_, {}))
        stream->end({.failure = failure});
    const auto streams = std::exchange(streams_, {});
    for (const auto& [id, stream] : streams)
        stream->end({.failure = failure,
                     .request_may_have_run = may_have_been_sent(*stream)});
}

bool link_client_connection::busy() const
{
    return std::any_of(streams_.begin(), streams_.end(), [this](auto& each) {
        return each.second->path_ != limits().long_poll_path;
    });
}

void link_client_connection::check_deadlines(time_point now)
{
    if (phase_ != phase::open && now >= handshake_deadline_) {
        fail(phase_ == phase::connecting ? link_failure::connect_failed
                                         : link_failure::timed_out);
    } else if (phase_ != phase::open) {
        schedule_check(handshake_deadline_);
    } else if (streams_.empty() && now >= idle_deadline_) {
        shut_down();
    } else if (streams_.empty()) {
        schedule_check(idle_deadline_);
    }
}

} // namespace cyclamenrun
