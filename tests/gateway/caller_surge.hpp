#ifndef CYCLAMENRUN_TESTS_CALLER_SURGE_HPP
#define CYCLAMENRUN_TESTS_CALLER_SURGE_HPP

#include "clock.hpp"
#include "http_reader.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/** How the callers of a surge ended, and how their attempts did. */
struct surge_result {
    std::map<unsigned, std::size_t> answers; ///< callers by status
    std::size_t given_up = 0; ///< callers that no gateway has read
    std::size_t broken = 0;   ///< callers whose answer was cut
    std::size_t silent = 0;   ///< callers without an answer at the end
    /** Attempts closed unread or refused, by the gateway's address. */
    std::map<std::string, std::size_t> unread;
};

/**
 * Callers that each open a new connection for one request. A caller whose
 * connection is refused, or closed before any byte of an answer, tries the next
 * gateway. Runs on the test's thread.
 */
class caller_surge
{
public:
    struct plan {
        std::vector<std::string> gateways; ///< addresses, the first one first
        std::size_t callers = 0;
        double callers_per_s = 0;
        std::size_t max_attempts = 1;
        milliseconds pause_between_attempts{50};
        milliseconds answer_time{10000}; ///< after the last caller
    };

    /** `next_request` returns the bytes of a request with a new id. */
    caller_surge(plan surge, std::function<std::string()> next_request);
    ~caller_surge();
    caller_surge(const caller_surge&) = delete;
    caller_surge& operator=(const caller_surge&) = delete;

    surge_result run();

private:
    struct caller_state {
        std::size_t attempts = 0;
        int socket = -1;
        bool sent = false;
        bool any_byte = false;
        unsigned status = 0;
        std::unique_ptr<http_reader> reader;
    };

    void attempt(std::size_t index);
    void handle(std::size_t index);
    void read(std::size_t index);
    void end_attempt(std::size_t index);
    void end(caller_state& ended);
    const std::string& gateway_of(const caller_state& asked) const;
    void start_due(time_point now, time_point began);

    plan plan_;
    std::function<std::string()> next_request_;
    std::vector<caller_state> callers_;
    std::multimap<time_point, std::size_t> retries_;
    std::size_t started_ = 0;
    std::size_t ended_ = 0;
    int epoll_ = -1;
    surge_result result_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_CALLER_SURGE_HPP
