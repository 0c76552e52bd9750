#include "link_session.hpp"

#include "link_connection.hpp"

#include <memory>
#include <new>

namespace cyclamenrun
{

namespace
{

link_connection& connection_of(void* user_data)
{
    return *static_cast<link_connection*>(user_data);
}

std::string_view text_of(const std::uint8_t* bytes, std::size_t size)
{
    return {reinterpret_cast<const char*>(bytes), size};
}

int on_begin_headers(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                     void* user_data)
{
    link_connection& connection = connection_of(user_data);
    if (connection.closing())
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        connection.stream_opened(frame->hd.stream_id);
    return 0;
}

int on_header(nghttp2_session* /*session*/, const nghttp2_frame* frame,
              const std::uint8_t* name, std::size_t name_size,
              const std::uint8_t* value, std::size_t value_size,
              std::uint8_t /*flags*/, void* user_data)
{
    connection_of(user_data).header_received(frame->hd.stream_id,
                                             text_of(name, name_size),
                                             text_of(value, value_size));
    return 0;
}

int on_data_chunk(nghttp2_session* session, std::uint8_t /*flags*/,
                  std::int32_t stream, const std::uint8_t* data,
                  std::size_t size, void* user_data)
{
    link_connection& connection = connection_of(user_data);
    if (connection.closing())
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    // Returns the connection's flow control credit at once, so that a slow
    // reader blocks only its own stream and never the other streams.
    nghttp2_session_consume_connection(session, size);
    connection.data_received(stream, text_of(data, size));
    return 0;
}

int on_frame_received(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      void* user_data)
{
    link_connection& connection = connection_of(user_data);
    if (connection.closing())
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    if (frame->hd.type == NGHTTP2_GOAWAY)
        connection.goaway_received();
    const bool message =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (message && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        connection.stream_half_closed(frame->hd.stream_id);
    return 0;
}

int on_frame_sent(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                  void* user_data)
{
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        connection_of(user_data).request_sent(frame->hd.stream_id);
    return 0;
}

int on_frame_not_sent(nghttp2_session* /*session*/, const nghttp2_frame* frame,
                      int /*error*/, void* user_data)
{
    if (frame->hd.type == NGHTTP2_HEADERS &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        connection_of(user_data).stream_closed(frame->hd.stream_id,
                                               NGHTTP2_REFUSED_STREAM);
    return 0;
}

int on_stream_close(nghttp2_session* /*session*/, std::int32_t stream,
                    std::uint32_t error_code, void* user_data)
{
    connection_of(user_data).stream_closed(stream, error_code);
    return 0;
}

ssize_t read_data(nghttp2_session* /*session*/, std::int32_t stream,
                  std::uint8_t* buffer, std::size_t size, std::uint32_t* flags,
                  nghttp2_data_source* /*source*/, void* user_data)
{
    const link_chunk chunk = connection_of(user_data).read_data(
        stream, {reinterpret_cast<char*>(buffer), size});
    if (chunk.broken)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    if (chunk.end)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    if (chunk.size == 0 && !chunk.end)
        return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(chunk.size);
}

using callbacks_pointer =
    std::unique_ptr<nghttp2_session_callbacks,
                    decltype(&nghttp2_session_callbacks_del)>;
using option_pointer =
    std::unique_ptr<nghttp2_option, decltype(&nghttp2_option_del)>;

callbacks_pointer make_callbacks()
{
    nghttp2_session_callbacks* raw = nullptr;
    if (nghttp2_session_callbacks_new(&raw) != 0)
        throw std::bad_alloc();
    callbacks_pointer made(raw, nghttp2_session_callbacks_del);
    nghttp2_session_callbacks_set_on_begin_headers_callback(raw,
                                                            on_begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(raw, on_header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(raw,
                                                              on_data_chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(raw,
                                                         on_frame_received);
    nghttp2_session_callbacks_set_on_frame_send_callback(raw, on_frame_sent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(raw,
                                                             on_frame_not_sent);
    nghttp2_session_callbacks_set_on_stream_close_callback(raw,
                                                           on_stream_close);
    return made;
}

option_pointer make_option()
{
    nghttp2_option* raw = nullptr;
    if (nghttp2_option_new(&raw) != 0)
        throw std::bad_alloc();
    option_pointer made(raw, nghttp2_option_del);
    // on_data_chunk() and link_connection return flow control credit instead.
    nghttp2_option_set_no_auto_window_update(raw, 1);
    // Discards closed streams, which nghttp2 would keep for the priority tree.
    nghttp2_option_set_no_closed_streams(raw, 1);
    return made;
}

const nghttp2_session_callbacks* callbacks()
{
    static const callbacks_pointer made = make_callbacks();
    return made.get();
}

const nghttp2_option* option()
{
    static const option_pointer made = make_option();
    return made.get();
}

} // namespace

nghttp2_session* make_client_session(link_connection& connection)
{
    nghttp2_session* made = nullptr;
    if (nghttp2_session_client_new2(&made, callbacks(), &connection,
                                    option()) != 0)
        throw std::bad_alloc();
    return made;
}

nghttp2_session* make_server_session(link_connection& connection)
{
    nghttp2_session* made = nullptr;
    if (nghttp2_session_server_new2(&made, callbacks(), &connection,
                                    option()) != 0)
        throw std::bad_alloc();
    return made;
}

nghttp2_data_provider data_provider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = read_data;
    return provider;
}

nghttp2_nv header(std::string_view name, std::string_view value)
{
    const auto bytes = [](std::string_view text) {
        // The parameter of nghttp2 is not const, but nghttp2 only reads it.
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(),
            NGHTTP2_NV_FLAG_NONE};
}

} // namespace cyclamenrun
