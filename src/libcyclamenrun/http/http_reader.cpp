#include "http_reader.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace cyclamenrun
{

namespace
{

namespace beast_http = boost::beast::http;
using boost::system::error_code;

/**
 * Bound on the bytes of a message that are neither its head nor its body:
 * a fixed part, and a multiple of the body. Chunks of one byte take six.
 */
constexpr std::size_t max_framing_bytes = std::size_t(64) << 10;
constexpr std::size_t max_framing_per_body_byte = 16;
/** Buffers with more spare capacity are released, one for each connection. */
constexpr std::size_t kept_capacity = std::size_t(4) << 10;

http_problem problem_of(const error_code& error)
{
    if (error == beast_http::error::header_limit)
        return http_problem::header_too_long;
    if (error == beast_http::error::body_limit)
        return http_problem::body_too_long;
    if (error == beast_http::error::partial_message ||
        error == beast_http::error::end_of_stream)
        return http_problem::truncated;
    return http_problem::malformed;
}

/**
 * Receives the parser's callbacks for requests and responses alike. field()
 * reports an invalid field through `error`.
 */
class message_sink
{
public:
    message_sink(const http_reader::hooks& on, http_head& head)
        : on_(on), head_(head)
    {
    }

    void field(std::string_view name, std::string_view value, error_code& error)
    {
        // Only "chunked" is supported. A peer that supports another coding
        // would find the end of the message at another byte.
        const bool coding = same_field_name(name, "Transfer-Encoding");
        if (coding && !same_field_name(value, "chunked"))
            error = beast_http::error::bad_transfer_encoding;
        if (coding && head_.chunked)
            error = beast_http::error::bad_transfer_encoding;
        head_.chunked = head_.chunked || coding;
        head_.fields.push_back({std::string(name), std::string(value)});
    }

    void head(bool keep_alive, bool ends_with_connection)
    {
        head_.keep_alive = keep_alive;
        head_.ends_with_connection = ends_with_connection;
        if (on_.head)
            on_.head(std::move(head_));
    }

    void body(std::string_view bytes)
    {
        body_bytes_ += bytes.size();
        if (on_.body && !bytes.empty())
            on_.body(bytes);
    }

    void complete()
    {
        if (on_.complete)
            on_.complete();
    }

    http_head& start_line() { return head_; }
    std::size_t body_bytes() const { return body_bytes_; }

private:
    const http_reader::hooks& on_;
    http_head& head_;
    std::size_t body_bytes_ = 0;
};

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

template <bool is_request>
class beast_parser final : public beast_http::basic_parser<is_request>
{
public:
    explicit beast_parser(message_sink& sink) : sink_(sink) {}

private:
    using text = boost::beast::string_view;

    void on_request_impl(beast_http::verb, text method, text target, int,
                         error_code&) override
    {
        sink_.start_line().method = std::string(view_of(method));
        sink_.start_line().target = std::string(view_of(target));
    }
    void on_response_impl(int status, text reason, int,
                          error_code& error) override
    {
        if (!is_valid_status(static_cast<unsigned>(status))) {
            error = beast_http::error::bad_status;
            return;
        }
        sink_.start_line().status = static_cast<unsigned>(status);
        sink_.start_line().reason = std::string(view_of(reason));
    }
    void on_field_impl(beast_http::field, text name, text value,
                       error_code& error) override
    {
        sink_.field(view_of(name), view_of(value), error);
    }
    void on_header_impl(error_code&) override
    {
        sink_.head(this->keep_alive(), !is_request && this->need_eof());
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>&,
                           error_code&) override
    {
    }
    std::size_t on_body_impl(text bytes, error_code&) override
    {
        sink_.body(view_of(bytes));
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, text, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, text bytes,
                                   error_code&) override
    {
        sink_.body(view_of(bytes));
        return bytes.size();
    }
    void on_finish_impl(error_code&) override { sink_.complete(); }

    message_sink& sink_;
};

} // namespace

/** Parses one message, either a request or a response. */
class http_reader::parser
{
public:
    parser(const http_reader& reader) : sink_(reader.on_, head_)
    {
        if (reader.kind_ == http_message_kind::request)
            set_up(request_, reader);
        else
            set_up(response_, reader);
    }

    std::size_t put(std::string_view bytes, error_code& error)
    {
        const boost::asio::const_buffer buffer(bytes.data(), bytes.size());
        return request_ ? request_->put(buffer, error)
                        : response_->put(buffer, error);
    }
    void put_end(error_code& error)
    {
        request_ ? request_->put_eof(error) : response_->put_eof(error);
    }
    bool done() const
    {
        return request_ ? request_->is_done() : response_->is_done();
    }
    bool started() const
    {
        return request_ ? request_->got_some() : response_->got_some();
    }
    bool head_done() const
    {
        return request_ ? request_->is_header_done()
                        : response_->is_header_done();
    }
    std::size_t body_bytes() const { return sink_.body_bytes(); }
    void skip_body()
    {
        if (response_ && !response_->got_some())
            response_->skip(true);
    }

private:
    template <typename Parser>
    void set_up(std::optional<Parser>& target, const http_reader& reader)
    {
        target.emplace(sink_);
        target->eager(true);
        target->header_limit(
            static_cast<std::uint32_t>(reader.limits_.header_bytes));
        target->body_limit(reader.limits_.body_bytes);
    }

    http_head head_;
    message_sink sink_;
    std::optional<beast_parser<true>> request_;
    std::optional<beast_parser<false>> response_;
};

http_reader::http_reader(http_message_kind kind, http_limits limits, hooks on)
    : kind_(kind), limits_(limits), on_(std::move(on))
{
    start();
}

http_reader::~http_reader() = default;

void http_reader::start()
{
    parser_ = std::make_unique<parser>(*this);
    parsed_bytes_ = 0;
    if (no_body_)
        parser_->skip_body();
}

void http_reader::set_limits(const http_limits& limits)
{
    if (in_message() || limits == limits_)
        return;
    limits_ = limits;
    if (!complete())
        start();
}

void http_reader::expect_no_body()
{
    no_body_ = true;
    parser_->skip_body();
}

bool http_reader::complete() const
{
    return parser_->done();
}

bool http_reader::in_message() const
{
    return !complete() && (parser_->started() || !pending_.empty());
}

bool http_reader::has_surplus() const
{
    return complete() && !pending_.empty();
}

bool http_reader::head_complete() const
{
    return parser_->head_done();
}

tl::expected<void, http_problem> http_reader::feed(std::string_view bytes)
{
    pending_.append(bytes);
    return advance();
}

tl::expected<void, http_problem> http_reader::next_message()
{
    start();
    return advance();
}

tl::expected<void, http_problem> http_reader::advance()
{
    // Rejects folded fields, since servers disagree on how to read them.
    if (!parser_->head_done()) {
        const auto end = pending_.find("\r\n\r\n");
        const auto head = std::string_view(pending_).substr(0, end);
        if (head.find("\r\n ") != std::string_view::npos ||
            head.find("\r\n\t") != std::string_view::npos)
            return tl::unexpected(http_problem::malformed);
    }
    auto result = parse_pending();
    release_spare_capacity();
    // After the head, the parser leaves only an incomplete chunk-size line or
    // trailer, and has no bound for either.
    const bool too_long =
        framing_exceeds_limit() || (parser_->head_done() && !parser_->done() &&
                                    pending_.size() > limits_.header_bytes);
    if (result && too_long)
        return tl::unexpected(http_problem::framing_too_long);
    return result;
}

tl::expected<void, http_problem> http_reader::parse_pending()
{
    while (!pending_.empty() && !parser_->done()) {
        error_code error;
        const auto used = parser_->put(pending_, error);
        pending_.erase(0, used);
        parsed_bytes_ += used;
        if (error == beast_http::error::need_more)
            return {};
        if (error)
            return tl::unexpected(problem_of(error));
        if (used == 0)
            return {};
    }
    return {};
}

bool http_reader::framing_exceeds_limit() const
{
    const auto body = parser_->body_bytes();
    return parsed_bytes_ - body > limits_.header_bytes + max_framing_bytes +
                                      max_framing_per_body_byte * body;
}

void http_reader::release_spare_capacity()
{
    if (pending_.capacity() > kept_capacity &&
        pending_.size() < pending_.capacity() / 4)
        pending_.shrink_to_fit();
}

tl::expected<void, http_problem> http_reader::end_of_connection()
{
    if (complete() || !in_message())
        return {};
    error_code error;
    parser_->put_end(error);
    if (error)
        return tl::unexpected(problem_of(error));
    return {};
}

} // namespace cyclamenrun
