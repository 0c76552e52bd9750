#ifndef CYCLAMENRUN_GENERATION_ID_HPP
#define CYCLAMENRUN_GENERATION_ID_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Names one generation for all time: the upstream it runs on, the life of the
 * agent that started it, and a count within that life. The secret keeps
 * others from guessing the id of a generation that is not theirs.
 */
struct generation_id {
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t secret = 0;

    bool operator==(const generation_id&) const = default;
};

/** Where a caller stands in a generation: what an SSE `id:` says. */
struct stream_position {
    generation_id generation;
    std::uint64_t index = 0; ///< of the token the event carried

    bool operator==(const stream_position&) const = default;
};

/** An incarnation, or another 64-bit id, as ids write it. */
std::string hex_of(std::uint64_t number);

std::string to_string(const generation_id& id);
std::string to_string(const stream_position& position);

/** Empty for anything that to_string() could not have written. */
std::optional<stream_position> parse_stream_position(std::string_view text);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GENERATION_ID_HPP
