#ifndef CYCLAMENRUN_PLATFORM_LOG_CLIENT_HPP
#define CYCLAMENRUN_PLATFORM_LOG_CLIENT_HPP

#include "http_exchange.hpp"
#include "platform_log.hpp"

#include <string>

namespace cyclamenrun
{

class cancellation;

/** HTTP client for one log of the platform's log service. */
class platform_log_client : public platform_log
{
public:
    /**
     * `call_timeout` is the timeout of each call; a read adds its `wait`.
     * `stop` ends calls that are in progress.
     */
    platform_log_client(std::string address, const std::string& log,
                        exchange_limits limits, milliseconds call_timeout,
                        clock_function clock, cancellation* stop = nullptr);

    tl::expected<std::uint64_t, log_error>
    append(std::string_view data) override;
    tl::expected<log_page, log_error>
    read(std::uint64_t from, std::uint32_t max, milliseconds wait) override;

private:
    tl::expected<http_answer, log_error> call(http_request request,
                                              milliseconds limit);

    std::string address_;
    std::string path_;
    exchange_limits limits_;
    milliseconds call_timeout_;
    clock_function clock_;
    cancellation* stop_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PLATFORM_LOG_CLIENT_HPP
