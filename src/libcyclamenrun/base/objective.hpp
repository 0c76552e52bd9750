#ifndef CYCLAMENRUN_OBJECTIVE_HPP
#define CYCLAMENRUN_OBJECTIVE_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** What the decisions of a service weigh most; numbers as in config.proto. */
enum class objective : std::uint8_t {
    stall_time = 1,    ///< time in which a caller waits with no token
    token_latency = 2, ///< tail between tokens, preemptions
};

std::string_view name_of(objective goal);
std::optional<objective> objective_of(std::uint32_t number);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OBJECTIVE_HPP
