#ifndef CYCLAMENRUN_HTTP_EXCHANGE_HPP
#define CYCLAMENRUN_HTTP_EXCHANGE_HPP

#include "answer_integrity.hpp"
#include "clock.hpp"
#include "http_problem.hpp"
#include "upstream_notices.hpp"

#include <Poco/Net/StreamSocket.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

class cancellation;
class http_reader;
class shared_input_budget;
struct http_head;

/** Why an exchange failed. */
enum class http_failure : std::uint8_t {
    connect_failed,
    lost_before_answer, ///< closed before the status line
    lost_mid_answer,    ///< closed before the end of the body
    malformed,
    timed_out, ///< deadline passed, or a read or write took response_timeout
    cancelled,
    too_large,
    no_room, ///< the process holds too many bytes of answers
};

std::string_view name_of(http_failure failure);

struct http_error {
    http_failure failure = http_failure::connect_failed;
    /** False only if the server can't have received any byte of the request. */
    bool may_have_run = false;
    std::string detail;
};

struct exchange_limits {
    milliseconds connect_timeout = milliseconds(1000);
    /** The longest wait of one read or write. */
    milliseconds response_timeout = milliseconds(30000);
    std::size_t max_answer_bytes = std::size_t(16) << 20;
    /** Counts the answers that run() collects; null: not counted. */
    std::shared_ptr<shared_input_budget> input = {};
};

struct http_request {
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::map<std::string, std::string> headers;
    time_point deadline;
    /**
     * Accepts an answer without framing, whose integrity is unconfirmed; else
     * it counts as lost.
     */
    bool accepts_unframed = false;
};

struct answer_head {
    int status = 0;
    std::string content_type;
    std::map<std::string, std::string> headers; ///< names in lower case
};

/** What an upstream says of itself in the head of an answer. */
upstream_notice notice_of(const answer_head& head);
using notice_handler = std::function<void(const upstream_notice&)>;

struct http_answer {
    answer_head head;
    std::string body;
    answer_integrity integrity = answer_integrity::whole;
};

/**
 * One HTTP exchange on its own connection, which is closed at the end. Since
 * no connection is reused, a late answer to an earlier request can't be
 * mistaken for the answer to a later one.
 */
class http_exchange
{
public:
    /** `address` is IP:PORT. */
    http_exchange(std::string address, exchange_limits limits,
                  clock_function clock);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    /** Sends the request and waits for status and headers. Call once. */
    tl::expected<answer_head, http_error> start(const http_request& request,
                                                cancellation* cancel = nullptr);

    /**
     * Waits for the next bytes of the body. An empty view means the end of the
     * body. The view is valid until the next call.
     */
    tl::expected<std::string_view, http_error> read();
    /** What is known of the answer once read() has returned its end. */
    answer_integrity integrity() const;

    /** Calls start() and reads the whole body. */
    tl::expected<http_answer, http_error> run(const http_request& request,
                                              cancellation* cancel = nullptr);

private:
    bool connect(time_point deadline);
    void attach(cancellation* cancel);
    void send(const http_request& request);
    tl::expected<answer_head, http_error> receive_head();
    /** Waits for bytes and feeds the reader with them. */
    tl::expected<void, http_error> receive();
    tl::expected<void, http_error> handle_end_of_connection();
    void handle_head(const http_head& head);
    bool accepts_end() const;
    http_error error(http_failure failure, std::string detail) const;
    http_error problem_error(http_problem problem) const;
    http_error current_error() const;
    http_failure loss() const;

    std::string address_;
    exchange_limits limits_;
    clock_function clock_;
    std::optional<Poco::Net::StreamSocket> connection_;
    std::unique_ptr<http_reader> reader_;
    cancellation* cancellation_ = nullptr;
    std::uint64_t attachment_ = 0;
    answer_head head_; ///< the latest
    http_framing framing_ = http_framing::length;
    std::string received_; ///< part of the body that read() has not returned
    std::string returned_; ///< by the last read()
    int interim_heads_ = 0;
    bool has_head_ = false; ///< of the answer itself
    bool accepts_unframed_ = false;
    bool sent_ = false;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_EXCHANGE_HPP
