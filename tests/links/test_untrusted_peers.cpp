#include "link_streams.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <array>
#include <deque>
#include <nghttp2/nghttp2.h>
#include <rapidcheck/gtest.h>

namespace cyclamenrun
{
namespace
{

constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/** A peer that sends raw bytes and does not follow the protocol. */
class raw_peer
{
public:
    explicit raw_peer(const Poco::Net::SocketAddress& address)
        : socket_(address)
    {
        socket_.setReceiveTimeout(
            Poco::Timespan(std::chrono::seconds(test_timeout).count(), 0));
    }

    void send(std::string_view bytes)
    {
        try {
            socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()),
                              MSG_NOSIGNAL);
        } catch (const Poco::Exception&) {
            // The server has closed the connection; wait_closed() detects that.
        }
    }

    /** Reads to the end. Returns false if the server does not close. */
    bool wait_closed()
    {
        std::array<char, 4096> buffer{};
        try {
            while (socket_.receiveBytes(buffer.data(), buffer.size()) > 0) {
            }
        } catch (const Poco::TimeoutException&) {
            return false;
        } catch (const Poco::Exception&) {
            return true;
        }
        return true;
    }

private:
    Poco::Net::StreamSocket socket_;
};

class link_untrusted_peers : public link_streams
{
protected:
    void SetUp() override
    {
        limits.handshake_timeout = milliseconds(100);
        serve([this](const auto& stream) {
            handled.add();
            answer_reversed(stream);
        });
    }

    void expect_still_serving()
    {
        received_answer answer;
        EXPECT_TRUE(request_and_wait(answer, "ab").clean);
        EXPECT_EQ(handled.count(), 1U);
    }

    event_count handled;
};

TEST_F(link_untrusted_peers, an_idle_peer_is_closed)
{
    raw_peer idle(server->address());
    EXPECT_TRUE(idle.wait_closed());
    expect_still_serving();
}

TEST_F(link_untrusted_peers, a_half_open_peer_is_closed)
{
    raw_peer half_open(server->address());
    half_open.send(preface.substr(0, 10));
    EXPECT_TRUE(half_open.wait_closed());
    expect_still_serving();
}

TEST_F(link_untrusted_peers, random_bytes_close_the_connection_and_run_nothing)
{
    rc::check("with or without the HTTP/2 preface", [this] {
        raw_peer peer(server->address());
        if (*rc::gen::arbitrary<bool>())
            peer.send(preface);
        peer.send(*rc::gen::resize(400, rc::gen::arbitrary<std::string>()));
        peer.send(std::string(64, '\xff'));
        RC_ASSERT(peer.wait_closed());
    });
    expect_still_serving();
}

/** Submits a request with `frame` as its body, which must outlive `session`. */
void submit_request(nghttp2_session* session, const std::string& path,
                    std::string& frame)
{
    std::array<std::string, 8> text{":method", "POST", ":scheme",    "http",
                                    ":path",   path,   ":authority", "x"};
    std::vector<nghttp2_nv> headers;
    for (std::size_t i = 0; i < text.size(); i += 2)
        headers.push_back({reinterpret_cast<std::uint8_t*>(text[i].data()),
                           reinterpret_cast<std::uint8_t*>(text[i + 1].data()),
                           text[i].size(), text[i + 1].size(),
                           NGHTTP2_NV_FLAG_NONE});
    nghttp2_data_provider provider{};
    provider.source.ptr = &frame;
    provider.read_callback =
        [](nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t,
           std::uint32_t* flags, nghttp2_data_source* source, void*) {
            const auto& bytes = *static_cast<const std::string*>(source->ptr);
            std::copy(bytes.begin(), bytes.end(), buffer);
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return static_cast<ssize_t>(bytes.size());
        };
    nghttp2_submit_request(session, nullptr, headers.data(), headers.size(),
                           &provider, nullptr);
}

/** Returns the bytes of HTTP/2 requests that are sent without a pause. */
std::string requests_at_once(const std::vector<std::string>& paths)
{
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session* session = nullptr;
    nghttp2_session_client_new(&session, callbacks, nullptr);
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, nullptr, 0);
    std::string frame;
    // As long as a nonce or a proof.
    append_frame(frame, std::string(32, 'x'));
    for (const std::string& path : paths)
        submit_request(session, path, frame);
    std::string wire;
    const std::uint8_t* data = nullptr;
    while (const auto size = nghttp2_session_mem_send(session, &data))
        wire.append(reinterpret_cast<const char*>(data), size);
    nghttp2_session_del(session);
    nghttp2_session_callbacks_del(callbacks);
    return wire;
}

// A process without the key uses the protocol but skips the handshake or
// sends a wrong proof. None of its requests may reach the handler.
TEST_F(link_untrusted_peers, a_request_before_a_valid_proof_is_refused)
{
    const std::vector<std::vector<std::string>> attempts{
        {"/dispatch"},
        {"/prove", "/dispatch"},
        {"/hello", "/dispatch"},
        {"/hello", "/prove", "/dispatch"},
    };
    for (const auto& paths : attempts) {
        raw_peer peer(server->address());
        peer.send(requests_at_once(paths));
        EXPECT_TRUE(peer.wait_closed());
        EXPECT_EQ(handled.count(), 0U);
    }
    expect_still_serving();
}

// A process opens many connections and sends nothing. The oldest ones must be
// closed, so that memory stays bounded and a peer with the key can connect.
TEST_F(link_untrusted_peers,
       idle_connections_do_not_lock_out_an_authenticated_peer)
{
    server.reset();
    limits.handshake_timeout = test_timeout;
    limits.max_unauthenticated = 4;
    serve([this](const auto& stream) {
        handled.add();
        answer_reversed(stream);
    });
    std::deque<raw_peer> idle_peers;
    for (int i = 0; i < 20; ++i)
        idle_peers.emplace_back(server->address());
    for (int i = 0; i < 16; ++i)
        EXPECT_TRUE(idle_peers[i].wait_closed()) << i;
    expect_still_serving();
}

} // namespace
} // namespace cyclamenrun
