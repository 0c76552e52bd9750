#include "http_exchange.hpp"

#include "cancellation.hpp"
#include "http_deadline_socket.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <istream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr int max_header_fields = 64;
constexpr std::size_t read_buffer_bytes = 1024;
constexpr std::string_view last_chunk = "0\r\n\r\n";

constexpr std::array<std::string_view, 7> failure_names{
    "connect_failed", "lost_before_answer", "lost_mid_answer", "malformed",
    "timed_out",      "cancelled",          "too_large"};

/**
 * A duplicate descriptor of a connection. Shutting it down ends the reads of
 * the thread that owns the original descriptor and may close it at any time.
 */
class shutdown_handle
{
public:
    explicit shutdown_handle(int descriptor) : descriptor_(::dup(descriptor)) {}
    ~shutdown_handle()
    {
        if (descriptor_ >= 0)
            ::close(descriptor_);
    }
    shutdown_handle(const shutdown_handle&) = delete;
    shutdown_handle& operator=(const shutdown_handle&) = delete;

    void shut_down() { ::shutdown(descriptor_, SHUT_RDWR); }

private:
    int descriptor_;
};

} // namespace

std::string_view name_of(http_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

upstream_notice notice_of(const http_head& head)
{
    constexpr int unavailable = 503;
    upstream_notice notice;
    notice.leaving = head.headers.contains("x-upstream-leaving");
    const auto rest = head.headers.find("retry-after");
    if (head.status == unavailable && rest != head.headers.end())
        notice.rest = parse_rest(rest->second);
    return notice;
}

http_exchange::http_exchange(std::string address, exchange_limits limits,
                             clock_function clock)
    : address_(std::move(address)), limits_(limits), clock_(std::move(clock))
{
}

http_exchange::~http_exchange()
{
    if (cancellation_)
        cancellation_->detach(attachment_);
}

tl::expected<http_head, http_error>
http_exchange::start(const http_request& request, cancellation* cancel)
{
    if (cancel && cancel->cancelled())
        return tl::unexpected(error(http_failure::cancelled,
                                    "cancelled before the request was sent"));
    try {
        if (!connect(request.deadline))
            return tl::unexpected(
                error(http_failure::timed_out, "the deadline has passed"));
    } catch (const Poco::Exception& cause) {
        return tl::unexpected(
            error(http_failure::connect_failed, cause.displayText()));
    }
    attach(cancel);
    if (cancellation_ && cancellation_->cancelled())
        return tl::unexpected(error(http_failure::cancelled,
                                    "cancelled before the request was sent"));
    try {
        send(request);
        return receive_head();
    } catch (...) {
        return tl::unexpected(current_error(http_failure::lost_before_answer));
    }
}

tl::expected<std::string_view, http_error> http_exchange::read()
{
    try {
        buffer_.resize(read_buffer_bytes);
        body_->read(buffer_.data(), 1);
        auto count = static_cast<std::size_t>(body_->gcount());
        if (count != 0)
            count += static_cast<std::size_t>(
                body_->readsome(buffer_.data() + 1, read_buffer_bytes - 1));
        received_ += count;
        buffer_.resize(count);
    } catch (...) {
        return tl::unexpected(current_error(http_failure::lost_mid_answer));
    }
    if (received_ > limits_.max_answer_bytes)
        return tl::unexpected(
            error(http_failure::too_large, "the body is too large"));
    if (buffer_.empty() && !accepts_end())
        return tl::unexpected(current_error(http_failure::lost_mid_answer));
    return std::string_view(buffer_);
}

tl::expected<http_answer, http_error>
http_exchange::run(const http_request& request, cancellation* cancel)
{
    auto head = start(request, cancel);
    if (!head)
        return tl::unexpected(std::move(head.error()));
    http_answer answer{std::move(*head), {}};
    for (;;) {
        const auto bytes = read();
        if (!bytes)
            return tl::unexpected(bytes.error());
        if (bytes->empty()) {
            answer.integrity = integrity();
            return answer;
        }
        answer.body.append(*bytes);
    }
}

bool http_exchange::connect(time_point deadline)
{
    const auto wait =
        std::min(time_left(deadline, clock_()), limits_.connect_timeout);
    if (wait.count() == 0)
        return false;
    socket_ =
        new http_deadline_socket(deadline, limits_.response_timeout, clock_);
    Poco::Net::StreamSocket socket(socket_);
    socket.connect(Poco::Net::SocketAddress(address_),
                   Poco::Timespan(wait.count() * Poco::Timespan::MILLISECONDS));
    socket.setNoDelay(true);
    session_ = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    // With keep-alive the session reconnects and sends the request again when
    // a write fails, so that a call could run twice.
    session_->setKeepAlive(false);
    return true;
}

void http_exchange::attach(cancellation* cancel)
{
    if (!cancel)
        return;
    cancellation_ = cancel;
    auto handle = std::make_shared<shutdown_handle>(socket_->sockfd());
    attachment_ = cancel->attach([handle] { handle->shut_down(); });
}

void http_exchange::send(const http_request& request)
{
    Poco::Net::HTTPRequest message(request.method, request.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    message.setHost(address_);
    message.setKeepAlive(false);
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    if (!request.content_type.empty())
        message.setContentType(request.content_type);
    message.setContentLength(static_cast<std::streamsize>(request.body.size()));
    accepts_unframed_ = request.accepts_unframed;
    sent_ = true;
    auto& out = session_->sendRequest(message);
    out.exceptions(std::ios::badbit);
    out.write(request.body.data(),
              static_cast<std::streamsize>(request.body.size()));
    out.flush();
}

http_head http_exchange::receive_head()
{
    Poco::Net::HTTPResponse response;
    response.setFieldLimit(max_header_fields);
    body_ = &session_->receiveResponse(response);
    // The session takes the end of the connection for the end of the head.
    if (socket_->closed_by_peer())
        throw Poco::Net::NoMessageException(
            "the connection closed before the end of the head");
    // Passes on exceptions of the socket, so that they can be classified.
    body_->exceptions(std::ios::badbit);
    if (response.hasContentLength())
        content_length_ =
            static_cast<std::size_t>(response.getContentLength64());
    chunked_ = response.getChunkedTransferEncoding();
    http_head head{response.getStatus(), response.getContentType(), {}};
    for (const auto& [name, value] : response)
        head.headers[Poco::toLower(name)] = value;
    return head;
}

/**
 * The session reports the end of a body and a closed connection in the same
 * way, so the announced length or the last chunk is looked for here.
 */
bool http_exchange::framed_end_received() const
{
    if (content_length_)
        return received_ == *content_length_;
    return chunked_ && !socket_->closed_by_peer() &&
           socket_->tail() == last_chunk;
}

answer_integrity http_exchange::integrity() const
{
    answer_receipt receipt;
    receipt.framing = http_framing::connection;
    if (chunked_)
        receipt.framing = http_framing::chunked;
    if (content_length_)
        receipt.framing = http_framing::length;
    receipt.end =
        framed_end_received() ? receipt_end::framed : receipt_end::closed;
    return integrity_of(receipt);
}

bool http_exchange::accepts_end() const
{
    const auto known = integrity();
    return known == answer_integrity::whole ||
           (known == answer_integrity::unconfirmed && accepts_unframed_);
}

http_error http_exchange::error(http_failure failure, std::string detail) const
{
    return {failure, sent_, std::move(detail)};
}

/** Maps the current exception to an error; `lost` is for a lost connection. */
http_error http_exchange::current_error(http_failure lost) const
{
    if (cancellation_ && cancellation_->cancelled())
        return error(http_failure::cancelled, "cancelled while waiting");
    if (!std::current_exception())
        return error(lost, "the connection closed before the end of the body");
    try {
        throw;
    } catch (const Poco::TimeoutException& cause) {
        return error(http_failure::timed_out, cause.displayText());
    } catch (const Poco::Net::NoMessageException& cause) {
        return error(lost, cause.displayText());
    } catch (const Poco::Net::MessageException& cause) {
        return error(http_failure::malformed, cause.displayText());
    } catch (const Poco::IOException& cause) {
        return error(lost, cause.displayText());
    } catch (const Poco::Exception& cause) {
        return error(http_failure::malformed, cause.displayText());
    } catch (const std::exception& cause) {
        return error(lost, cause.what());
    }
}

} // namespace cyclamenrun
