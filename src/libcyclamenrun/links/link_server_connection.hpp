#ifndef CYCLAMENRUN_LINK_SERVER_CONNECTION_HPP
#define CYCLAMENRUN_LINK_SERVER_CONNECTION_HPP

#include "link_connection.hpp"
#include "link_handshake.hpp"
#include "server_stream.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace cyclamenrun
{

/** Handles a request; called on the loop's thread and must not block. */
using request_handler = std::function<void(std::shared_ptr<server_stream>)>;

/** Constants that a server shares with all its connections. */
struct link_server_context {
    std::string link_key;
    link_limits limits;
    request_handler handler;
};

/** The server end of a link, accepted by a link_listener. */
class link_server_connection final : public link_connection
{
public:
    /** Callbacks to the listener that owns the connection. */
    struct hooks {
        std::function<void()> authenticated;
        std::function<void()> closed;
    };

    link_server_connection(std::shared_ptr<link_reactor> reactor,
                           std::shared_ptr<const link_server_context> context,
                           const Poco::Net::StreamSocket& socket,
                           hooks owner_hooks);

    void start();

    // Called by the connection's streams.

    void start_answer(std::int32_t stream);
    void resume_answer(std::int32_t stream);

    void stream_opened(std::int32_t stream) override;
    void header_received(std::int32_t stream, std::string_view name,
                         std::string_view value) override;
    void data_received(std::int32_t stream, std::string_view data) override;
    void stream_half_closed(std::int32_t stream) override;
    void stream_closed(std::int32_t stream, std::uint32_t error_code) override;
    void request_sent(std::int32_t stream) override;
    void goaway_received() override;
    link_chunk read_data(std::int32_t stream, std::span<char> room) override;

protected:
    void connected() override;
    void closed(link_failure failure) override;
    bool busy() const override;
    void check_deadlines(time_point now) override;

private:
    enum class phase : std::uint8_t { awaiting_hello, awaiting_proof, open };

    std::shared_ptr<server_stream> find(std::int32_t stream) const;
    void handshake(server_stream& stream);
    void answer_hello(server_stream& stream);
    void check_proof(server_stream& stream);
    void refuse_peer(std::int32_t stream);

    std::shared_ptr<const link_server_context> context_;
    std::shared_ptr<const std::string> peer_;
    hooks hooks_;
    phase phase_ = phase::awaiting_hello;
    time_point handshake_deadline_;
    link_nonces nonces_;
    std::unordered_map<std::int32_t, std::shared_ptr<server_stream>> streams_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_SERVER_CONNECTION_HPP
