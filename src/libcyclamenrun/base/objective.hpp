#ifndef CYCLAMENRUN_OBJECTIVE_HPP
#define CYCLAMENRUN_OBJECTIVE_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenrun
{

/** Goal that a service is optimized for; numbers as in config.proto. */
enum class objective : std::uint8_t {
    stall_time = 1,    ///< Time during which callers receive no token.
    token_latency = 2, ///< Tail latency between tokens, and preemptions.
};

std::string_view name_of(objective goal);
std::optional<objective> objective_of(std::uint32_t number);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_OBJECTIVE_HPP
