#ifndef CYCLAMENRUN_HTTP_CLIENT_HPP
#define CYCLAMENRUN_HTTP_CLIENT_HPP

#include "http_reader.hpp"
#include "tcp_connection.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** The answer to a call. */
struct http_reply {
    unsigned status = 0;
    std::string body;
    std::vector<http_field> fields = {};
};

/** Why a call got no answer that can be used. */
enum class call_failure : std::uint8_t {
    unreachable, ///< Could not connect: the peer did not receive the call.
    timed_out,   ///< No answer in time: the call may have been executed.
    broken,      ///< The connection ended: the call may have been executed.
    malformed,   ///< The answer is not valid HTTP.
    oversized,   ///< The answer exceeds a bound.
};

std::string_view name_of(call_failure failure);

/** Bounds on the answers to a client's calls. */
struct call_limits {
    /** Of the body. The platform's pages are at most 1 MiB. */
    std::size_t reply_bytes = std::size_t(4) << 20;
    input_need need = input_need::ordinary;
};

/** For calls to engines: orders, loads and ids, whose answers are short. */
inline constexpr call_limits engine_call_limits{std::size_t(256) << 10,
                                                input_need::ordinary};
/** For calls to the directory. */
inline constexpr call_limits directory_call_limits{std::size_t(4) << 20,
                                                   input_need::essential};

using call_outcome = tl::expected<http_reply, call_failure>;

/**
 * Sends HTTP requests to one peer, one at a time, over a persistent connection.
 * A connection is never reused after a timeout, since a late answer could be
 * taken for the answer to a later call. The object keeps itself alive until the
 * pending call completes. To be used on the reactor's thread only.
 */
class http_client : public std::enable_shared_from_this<http_client>
{
public:
    using answer_handler = std::function<void(call_outcome)>;

    http_client(std::shared_ptr<link_reactor> reactor, ip_endpoint peer,
                call_limits limits = {});
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /**
     * Starts a call. No other call may be pending. The `Host` field and the
     * framing fields are added to `head`; a GET has no body.
     */
    void call(http_head head, const std::string& body, time_point deadline,
              answer_handler on_answer);
    bool busy() const { return static_cast<bool>(on_answer_); }
    /** Closes the connection. A pending call then ends at its deadline. */
    void close();

private:
    void send_call();
    /** Ends the call at its deadline. */
    void expire();
    void open_connection();
    void read(std::string_view bytes);
    void connection_ended(connection_end reason);
    /** Reads on after heads that precede the answer. */
    tl::expected<void, http_problem>
    skip_interim_heads(tl::expected<void, http_problem> read);
    void finish(call_outcome outcome);
    /** Counts what is held of the reply; false if a bound is exceeded. */
    bool count_reply();

    std::shared_ptr<link_reactor> reactor_;
    ip_endpoint peer_;
    call_limits limits_;
    held_bytes held_;
    std::shared_ptr<tcp_connection> connection_;
    std::unique_ptr<http_reader> reader_;
    std::shared_ptr<http_client> self_;
    std::string request_;
    http_reply reply_;
    http_framing framing_ = http_framing::none; ///< of the reply
    answer_handler on_answer_;
    std::uint64_t call_number_ = 0;
    unsigned interim_heads_ = 0; ///< read before the answer
    bool peer_keep_alive_ = true;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_CLIENT_HPP
