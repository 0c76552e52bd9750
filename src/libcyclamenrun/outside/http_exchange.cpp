#include "http_exchange.hpp"

#include "cancellation.hpp"
#include "http_deadline_socket.hpp"
#include "http_reader.hpp"
#include "shared_input_budget.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <algorithm>
#include <array>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr std::size_t max_header_fields = 64;
constexpr std::size_t max_header_bytes = std::size_t(16) << 10;
constexpr int max_interim_heads = 8;
constexpr std::size_t read_buffer_bytes = std::size_t(8) << 10;

constexpr std::array<std::string_view, 8> failure_names{
    "connect_failed", "lost_before_answer", "lost_mid_answer", "malformed",
    "timed_out",      "cancelled",          "too_large",       "no_room"};

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

upstream_notice notice_of(const answer_head& head)
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
    : address_(std::move(address)), limits_(std::move(limits)),
      clock_(std::move(clock))
{
}

http_exchange::~http_exchange()
{
    if (cancellation_)
        cancellation_->detach(attachment_);
}

tl::expected<answer_head, http_error>
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
    } catch (...) {
        return tl::unexpected(current_error());
    }
    return receive_head();
}

tl::expected<std::string_view, http_error> http_exchange::read()
{
    while (received_.empty() && !reader_->complete()) {
        if (auto result = receive(); !result)
            return tl::unexpected(std::move(result.error()));
    }
    returned_ = std::exchange(received_, {});
    if (returned_.empty() && !accepts_end())
        return tl::unexpected(
            error(loss(), "nothing shows that the answer is whole"));
    return std::string_view(returned_);
}

tl::expected<http_answer, http_error>
http_exchange::run(const http_request& request, cancellation* cancel)
{
    auto head = start(request, cancel);
    if (!head)
        return tl::unexpected(std::move(head.error()));
    http_answer answer{std::move(*head), {}};
    shared_held_bytes held(limits_.input);
    for (;;) {
        const auto bytes = read();
        if (!bytes)
            return tl::unexpected(bytes.error());
        if (bytes->empty()) {
            answer.integrity = integrity();
            return answer;
        }
        if (held.update(answer.body.size() + bytes->size()))
            return tl::unexpected(
                error(http_failure::no_room,
                      "the process holds too many bytes of answers"));
        answer.body.append(*bytes);
    }
}

bool http_exchange::connect(time_point deadline)
{
    const auto wait =
        std::min(time_left(deadline, clock_()), limits_.connect_timeout);
    if (wait.count() == 0)
        return false;
    connection_.emplace(
        new http_deadline_socket(deadline, limits_.response_timeout, clock_));
    connection_->connect(
        Poco::Net::SocketAddress(address_),
        Poco::Timespan(wait.count() * Poco::Timespan::MILLISECONDS));
    connection_->setNoDelay(true);
    return true;
}

void http_exchange::attach(cancellation* cancel)
{
    if (!cancel)
        return;
    cancellation_ = cancel;
    auto handle =
        std::make_shared<shutdown_handle>(connection_->impl()->sockfd());
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
    std::ostringstream text;
    message.write(text);
    text << request.body;
    accepts_unframed_ = request.accepts_unframed;
    sent_ = true;
    const auto bytes = std::move(text).str();
    connection_->sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

tl::expected<answer_head, http_error> http_exchange::receive_head()
{
    http_reader::hooks on_read;
    on_read.head = [this](http_head&& head) { handle_head(head); };
    on_read.body = [this](std::string_view bytes) { received_ += bytes; };
    reader_ = std::make_unique<http_reader>(
        http_message_kind::response,
        http_limits{max_header_bytes, limits_.max_answer_bytes}, on_read);
    while (!has_head_) {
        if (auto result = receive(); !result)
            return tl::unexpected(std::move(result.error()));
    }
    return head_;
}

tl::expected<void, http_error> http_exchange::receive()
{
    std::array<char, read_buffer_bytes> bytes{};
    std::size_t count = 0;
    try {
        count = static_cast<std::size_t>(connection_->receiveBytes(
            bytes.data(), static_cast<int>(bytes.size())));
    } catch (...) {
        return tl::unexpected(current_error());
    }
    if (count == 0)
        return handle_end_of_connection();
    auto result = reader_->feed({bytes.data(), count});
    while (result && reader_->complete() && !has_head_) {
        if (++interim_heads_ > max_interim_heads)
            return tl::unexpected(
                error(http_failure::too_large, "too many interim heads"));
        result = reader_->next_message();
    }
    if (!result)
        return tl::unexpected(problem_error(result.error()));
    if (head_.headers.size() > max_header_fields)
        return tl::unexpected(
            error(http_failure::malformed, "the head has too many fields"));
    return {};
}

/** It completes only an answer without framing. */
tl::expected<void, http_error> http_exchange::handle_end_of_connection()
{
    // A cancelled call has shut its connection down itself.
    if (cancellation_ && cancellation_->cancelled())
        return tl::unexpected(
            error(http_failure::cancelled, "cancelled while waiting"));
    const auto result = reader_->end_of_connection();
    if (result && reader_->complete() && has_head_)
        return {};
    return tl::unexpected(
        error(loss(), "the connection closed before the end of the answer"));
}

void http_exchange::handle_head(const http_head& head)
{
    head_ = {};
    head_.status = static_cast<int>(head.status);
    for (const auto& field : head.fields)
        head_.headers[Poco::toLower(field.name)] = field.value;
    const auto type = head_.headers.find("content-type");
    if (type != head_.headers.end())
        head_.content_type = type->second;
    framing_ = head.body_framing();
    has_head_ = !is_interim(head.status);
}

answer_integrity http_exchange::integrity() const
{
    const bool closed = framing_ == http_framing::connection ||
                        reader_ == nullptr || !reader_->complete();
    return integrity_of(
        {framing_, closed ? receipt_end::closed : receipt_end::framed});
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

http_error http_exchange::problem_error(http_problem problem) const
{
    std::string detail(name_of(problem));
    if (is_oversized(problem))
        return error(http_failure::too_large, std::move(detail));
    if (has_head_ || problem == http_problem::truncated)
        return error(loss(), std::move(detail));
    return error(http_failure::malformed, std::move(detail));
}

/** Maps the current exception of the socket to an error. */
http_error http_exchange::current_error() const
{
    if (cancellation_ && cancellation_->cancelled())
        return error(http_failure::cancelled, "cancelled while waiting");
    try {
        throw;
    } catch (const Poco::TimeoutException& cause) {
        return error(http_failure::timed_out, cause.displayText());
    } catch (const Poco::Exception& cause) {
        return error(loss(), cause.displayText());
    } catch (const std::exception& cause) {
        return error(loss(), cause.what());
    }
}

http_failure http_exchange::loss() const
{
    return has_head_ ? http_failure::lost_mid_answer
                     : http_failure::lost_before_answer;
}

} // namespace cyclamenrun
