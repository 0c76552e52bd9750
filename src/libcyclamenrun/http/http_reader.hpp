#ifndef CYCLAMENRUN_HTTP_READER_HPP
#define CYCLAMENRUN_HTTP_READER_HPP

#include "http_head.hpp"
#include "http_problem.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

enum class http_message_kind : std::uint8_t { request, response };

/** Limits on one message. */
struct http_limits {
    /** Of the head; also of a chunk-size line and of the trailer. */
    std::size_t header_bytes = std::size_t(16) << 10;
    std::size_t body_bytes = std::size_t(4) << 20;

    bool operator==(const http_limits&) const = default;
};

/**
 * Reads consecutive HTTP/1.1 messages incrementally. To prevent request
 * smuggling, it rejects as malformed every message whose end two readers could
 * place differently: one with both a length and chunked coding, an unknown
 * transfer coding or a folded field.
 */
class http_reader
{
public:
    struct hooks {
        std::function<void(http_head&&)> head;
        std::function<void(std::string_view)> body;
        std::function<void()> complete;
    };

    http_reader(http_message_kind kind, http_limits limits, hooks on);
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;
    ~http_reader();

    /**
     * Appends bytes and reads at most to the end of the current message. Later
     * bytes are buffered until next_message(). A hook must not destroy this
     * reader or call feed().
     */
    tl::expected<void, http_problem> feed(std::string_view bytes);

    /** Starts the message after a complete one, reading buffered bytes. */
    tl::expected<void, http_problem> next_message();

    /**
     * Handles an orderly end of the connection by the peer, which completes a
     * message whose body ends with the connection.
     */
    tl::expected<void, http_problem> end_of_connection();

    /** Sets the limits on messages that have not begun. */
    void set_limits(const http_limits& limits);

    /** Expects responses without a body, as answers to HEAD are. */
    void expect_no_body();

    bool complete() const;
    /** Whether a message has been received in part. */
    bool in_message() const;
    /** Whether bytes are buffered after the complete message. */
    bool has_surplus() const;
    bool head_complete() const;
    /** Bytes that are buffered but not parsed yet. */
    std::size_t pending_bytes() const { return pending_.size(); }
    /** Drops buffered bytes of a connection that is read no more. */
    void drop_pending() { std::string().swap(pending_); }

private:
    class parser;

    void start();
    tl::expected<void, http_problem> advance();
    tl::expected<void, http_problem> parse_pending();
    /** Whether what was read without body bytes exceeds its bound. */
    bool framing_exceeds_limit() const;
    void release_spare_capacity();

    http_message_kind kind_;
    http_limits limits_;
    hooks on_;
    std::string pending_;
    std::size_t parsed_bytes_ = 0; ///< of the current message
    bool no_body_ = false;
    std::unique_ptr<parser> parser_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_READER_HPP
