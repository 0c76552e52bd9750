#ifndef REVIEW_CLIENT_HPP
#define REVIEW_CLIENT_HPP

#include "record.hpp"

namespace review
{

struct client_request {
    std::string id;
    std::string route;           ///< the first part of the path
    std::string tokens = "460,48"; ///< of the prompt, and at most in the answer
    int time_budget_ms = 6000;
    std::string key = "xd9dnn2ctnfzs989anu6";
};

/** What a client got; status 0: the channel closed without an answer. */
struct client_answer {
    int status = 0;
    bool whole = false;
    std::string seal;
    std::string body;
};

/** Sends one request on a channel of its own and records its answer. */
inline client_answer send_request(const endpoint& gateway, record& log,
                                  const client_request& request)
{
    client_answer result;
    const auto open = connect_to(gateway);
    const std::string text =
        "POST /" + request.route +
        "/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + request.id +
        "\r\nModel: m\r\nToken-Usage: " + request.tokens +
        "\r\nPrompt-Prefix: 5c1e07a2:200," + request.id +
        ":260\r\nDeadline-Ms: " + std::to_string(request.time_budget_ms) +
        "\r\nAuthorization: Bearer " +
        request.key +
        "\r\nContent-Length: 5\r\n\r\nhello";
    const auto name = "client " + request.id + " /" + request.route + ": ";
    if (!open || !open->send(text)) {
        log.write(name + "no connection");
        return result;
    }
    const auto answer = open->read(true);
    if (!answer) {
        log.write(name + "closed without an answer");
        return result;
    }
    result = {answer->status, answer->whole, answer->field("Response-Seal"),
              answer->body};
    log.write(name + std::to_string(result.status) +
              (result.whole ? " whole, seal " : " cut, seal ") + result.seal);
    return result;
}

} // namespace review

#endif
