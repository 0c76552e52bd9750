#ifndef CYCLAMENRUN_HTTP_CALLER_WRITER_HPP
#define CYCLAMENRUN_HTTP_CALLER_WRITER_HPP

#include "caller_request.hpp"
#include "caller_writer.hpp"

#include <functional>
#include <iosfwd>
#include <string>

namespace Poco::Net
{
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace cyclamenrun
{

/** The format of the answer to one request. */
struct answer_format {
    std::string request_id;
    std::string service;
    completion_format completion = completion_format::completions;
    bool events = false; ///< server-sent events; otherwise one JSON body
};

/**
 * Writes an outcome as an HTTP response. Tokens are sent as server-sent events,
 * each with an id after which the caller can resume. A refusal after the first
 * token is sent as an `error` event, since the status line has already been
 * sent.
 */
class http_caller_writer : public caller_writer
{
public:
    /** While `stopping` returns true, answers end their connection. */
    http_caller_writer(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response,
                       answer_format format,
                       std::function<bool()> stopping = {});

    bool tokens(const write_tokens& tokens) override;
    bool end(const write_end& end) override;
    bool answer(const write_answer& answer) override;
    bool refuse(const refusal& why) override;
    bool is_disconnected() override;

private:
    bool send_body(int status, const std::string& content_type,
                   const std::string& body);
    /** Sends a body that ends with the connection. */
    bool send_unframed(int status, const std::string& content_type,
                       const std::string& body);
    void announce_close();
    bool start_events();
    bool write_event(const std::string& event);
    std::string token_chunk(const std::string& text) const;
    std::string end_chunk(const std::string& finish_reason) const;
    std::string whole_body(const write_end& end) const;
    std::string chunk(const std::string& choice) const;

    Poco::Net::HTTPServerRequest& request_;
    Poco::Net::HTTPServerResponse& response_;
    answer_format format_;
    std::function<bool()> stopping_;
    std::ostream* stream_ = nullptr;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_CALLER_WRITER_HPP
