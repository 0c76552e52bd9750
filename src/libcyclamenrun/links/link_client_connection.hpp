#ifndef CYCLAMENRUN_LINK_CLIENT_CONNECTION_HPP
#define CYCLAMENRUN_LINK_CLIENT_CONNECTION_HPP

#include "client_stream.hpp"
#include "link_connection.hpp"
#include "link_handshake.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** An HTTP/2 connection of a link_client to its peer. */
class link_client_connection final : public link_connection
{
public:
    /** Callbacks to the link_client that owns the connection. */
    struct hooks {
        /** Both ends are authenticated. */
        std::function<void()> ready;
        /**
         * The connection accepts no new streams. Called at least once, and
         * possibly more often.
         */
        std::function<void()> unusable;
    };

    link_client_connection(std::shared_ptr<link_reactor> reactor,
                           const link_limits& limits,
                           const Poco::Net::StreamSocket& socket,
                           std::string link_key, hooks owner_hooks);

    void start();

    /** Sends the stream's request, once the handshake is complete. */
    void open(const std::shared_ptr<client_stream>& stream);
    void cancel(const std::shared_ptr<client_stream>& stream);
    /** Returns flow control credit; see return_stream_credit(). */
    void return_credit(std::int32_t stream, std::size_t bytes);
    /**
     * Number of the owner's streams, including those that wait for the
     * handshake.
     */
    std::size_t streams() const;
    bool accepts_streams() const;
    /** Closes the connection once its last stream has ended. */
    void retire();
    /** Ends all streams and closes. */
    void cancel_all();

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
    enum class phase : std::uint8_t { connecting, hello, prove, open };

    std::shared_ptr<client_stream> find(std::int32_t stream) const;
    std::shared_ptr<client_stream> remove(std::int32_t stream);
    bool submit(const std::shared_ptr<client_stream>& stream);
    void
    send_handshake(std::string_view path, std::string_view frame,
                   void (link_client_connection::*on_answer)(std::string_view));
    void handle_hello_answer(std::string_view answer);
    void handle_proof_answer(std::string_view answer);
    bool may_have_been_sent(const client_stream& stream) const;
    void shut_down();

    std::string link_key_;
    hooks hooks_;
    phase phase_ = phase::connecting;
    time_point handshake_deadline_;
    time_point idle_deadline_;
    std::int32_t handshake_stream_ = 0;
    bool retired_ = false;
    bool shutting_down_ = false;
    link_nonces nonces_;
    std::vector<std::shared_ptr<client_stream>> waiting_;
    std::unordered_map<std::int32_t, std::shared_ptr<client_stream>> streams_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_CLIENT_CONNECTION_HPP
