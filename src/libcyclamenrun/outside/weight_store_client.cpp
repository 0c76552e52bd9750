#include "weight_store_client.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr int ok_status = 200;
constexpr int not_found_status = 404;
constexpr int rate_limited_status = 429;
constexpr std::int64_t base_delay_ms = 100;
constexpr std::int64_t max_delay_ms = 30000;
constexpr int max_doublings = 8;

constexpr std::array<std::string_view, 4> failure_names{
    "unavailable", "not_found", "timed_out", "cancelled"};

std::int64_t retry_after_ms(const answer_head& head)
{
    const auto found = head.headers.find("retry-after");
    if (found == head.headers.end())
        return 0;
    std::istringstream in(found->second);
    std::int64_t seconds = 0;
    in >> seconds;
    return std::clamp<std::int64_t>(seconds, 0, max_delay_ms / 1000) * 1000;
}

} // namespace

std::string_view name_of(weight_store_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

weight_store_client::weight_store_client(std::string address,
                                         exchange_limits limits,
                                         clock_function clock,
                                         random_function random,
                                         wait_function wait)
    : address_(std::move(address)), limits_(std::move(limits)),
      clock_(std::move(clock)), random_(std::move(random)),
      wait_(std::move(wait))
{
}

tl::expected<std::string, weight_store_failure>
weight_store_client::fetch(const std::string& name, time_point deadline)
{
    for (int attempt = 0;; ++attempt) {
        http_exchange exchange(address_, limits_, clock_);
        auto answer =
            exchange.run({"GET", "/v1/weights/" + name, "", "", {}, deadline});
        if (answer && answer->head.status == ok_status)
            return std::move(answer->body);
        if (answer && answer->head.status == not_found_status)
            return tl::unexpected(weight_store_failure::not_found);
        const bool limited =
            answer && answer->head.status == rate_limited_status;
        const auto delay =
            retry_delay(answer ? answer->head : answer_head{}, attempt);
        if (clock_() + delay >= deadline)
            return tl::unexpected(limited ? weight_store_failure::timed_out
                                          : weight_store_failure::unavailable);
        if (!wait_(delay))
            return tl::unexpected(weight_store_failure::cancelled);
    }
}

/** Retry-After plus an exponential delay with random jitter, bounded. */
milliseconds weight_store_client::retry_delay(const answer_head& head,
                                              int attempt) const
{
    const auto doubled = base_delay_ms << std::min(attempt, max_doublings);
    const auto jitter = static_cast<double>(doubled) * random_();
    const auto delay =
        retry_after_ms(head) + doubled / 2 + static_cast<std::int64_t>(jitter);
    return milliseconds(std::min(delay, max_delay_ms));
}

} // namespace cyclamenrun
