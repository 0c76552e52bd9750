#ifndef CYCLAMENRUN_LOGGING_PLATFORM_LOG_HPP
#define CYCLAMENRUN_LOGGING_PLATFORM_LOG_HPP

#include "clock.hpp"
#include "platform_log.hpp"

#include <atomic>

namespace cyclamenrun
{

class metrics;

/**
 * Forwards calls to the platform's log. Logs the start and the end of each
 * outage once, however many calls fail in between, and each read of records
 * that are no longer kept. Records the duration of successful appends.
 */
class logging_platform_log : public platform_log
{
public:
    logging_platform_log(platform_log& log, metrics& recorded_metrics,
                         clock_function clock);

    tl::expected<std::uint64_t, log_error>
    append(std::string_view data) override;
    tl::expected<log_page, log_error>
    read(std::uint64_t from, std::uint32_t max, milliseconds wait) override;

private:
    void log_availability(const log_error* error);

    platform_log& log_;
    metrics& metrics_;
    clock_function clock_;
    std::atomic<bool> available_{true};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOGGING_PLATFORM_LOG_HPP
