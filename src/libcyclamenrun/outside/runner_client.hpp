#ifndef CYCLAMENRUN_RUNNER_CLIENT_HPP
#define CYCLAMENRUN_RUNNER_CLIENT_HPP

#include "clock.hpp"
#include "http_exchange.hpp"

#include <string>
#include <tl/expected.hpp>

namespace cyclamenrun
{

class cancellation;

/** A call to an application runner; sent at most once. */
struct runner_request {
    std::string request_id; ///< also sent as X-Request-Id
    std::string path;
    std::string content_type;
    std::string body;
    time_point deadline;
};

/** The runner's answer, whatever its status. */
struct runner_answer {
    int status = 0;
    std::string content_type;
    std::string body;
    answer_integrity integrity = answer_integrity::whole; ///< or unconfirmed
};

/** HTTP client of one application runner; each call has its own connection. */
class runner_client
{
public:
    runner_client(std::string address, exchange_limits limits,
                  clock_function clock);

    /** As engine_client::on_notice(). */
    void on_notice(notice_handler handler) { on_notice_ = std::move(handler); }

    tl::expected<runner_answer, http_error> call(const runner_request& request,
                                                 cancellation& cancel);

    /** Whether the runner's host refuses a connection: no process listens. */
    bool has_ended() const;

private:
    std::string address_;
    exchange_limits limits_;
    clock_function clock_;
    notice_handler on_notice_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RUNNER_CLIENT_HPP
