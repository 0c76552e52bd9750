#ifndef CYCLAMENRUN_WEIGHT_STORE_CLIENT_HPP
#define CYCLAMENRUN_WEIGHT_STORE_CLIENT_HPP

#include "clock.hpp"
#include "http_exchange.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

class cancellation;

enum class weight_store_failure : std::uint8_t {
    unavailable, ///< the last try before the deadline failed
    not_found,
    timed_out, ///< still rate-limited at the deadline
    cancelled,
};

std::string_view name_of(weight_store_failure failure);

/**
 * HTTP client of the rate-limited store of model weights. Retries after the
 * Retry-After time plus an exponential delay with random jitter, 30 s at most.
 * The jitter spreads the retries of the VMs of a failure domain that restarts
 * as a whole.
 */
class weight_store_client
{
public:
    /** Returns a uniformly distributed number from [0, 1). */
    using random_function = std::function<double()>;
    /** Waits for this time; returning false cancels the fetch. */
    using wait_function = std::function<bool(milliseconds)>;

    weight_store_client(std::string address, exchange_limits limits,
                        clock_function clock, random_function random,
                        wait_function wait);

    /** Returns the bytes stored under `name`; retries until the deadline. */
    tl::expected<std::string, weight_store_failure>
    fetch(const std::string& name, time_point deadline);

private:
    milliseconds retry_delay(const answer_head& head, int attempt) const;

    std::string address_;
    exchange_limits limits_;
    clock_function clock_;
    random_function random_;
    wait_function wait_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_WEIGHT_STORE_CLIENT_HPP
