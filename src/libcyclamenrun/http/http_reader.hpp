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

struct http_limits {
    std::size_t header_bytes = std::size_t(16) << 10;
    std::size_t body_bytes = std::size_t(4) << 20;
};

/**
 * Reads one HTTP/1.1 message after another from bytes that come in any
 * pieces. Strict where two readers could disagree about where a message ends
 * (both lengths, unknown codings, folded fields): such bytes are malformed, so
 * that no request can be hidden inside another.
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
     * Takes bytes and reads at most to the end of the message at hand; what
     * lies behind it stays until next_message(). A hook may destroy neither
     * this reader nor call feed().
     */
    tl::expected<void, http_problem> feed(std::string_view bytes);

    /** Goes on to the message behind a complete one, whose bytes may be in. */
    tl::expected<void, http_problem> next_message();

    /** The peer has ended the connection in good order. */
    tl::expected<void, http_problem> end_of_connection();

    /** The response at hand answers HEAD: it has no body. */
    void expect_no_body();

    bool complete() const;
    /** Some byte of a message has come that is not complete. */
    bool in_message() const;
    /** Bytes that came behind the complete message. */
    bool has_surplus() const;
    bool head_complete() const;
    /** Bytes that are held and not read yet. */
    std::size_t pending_bytes() const { return pending_.size(); }

private:
    class parser;

    void start();
    tl::expected<void, http_problem> advance();

    http_message_kind kind_;
    http_limits limits_;
    hooks on_;
    std::string pending_;
    bool no_body_ = false;
    std::unique_ptr<parser> parser_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_READER_HPP
