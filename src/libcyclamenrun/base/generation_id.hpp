#ifndef CYCLAMENRUN_GENERATION_ID_HPP
#define CYCLAMENRUN_GENERATION_ID_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Globally unique id of a generation: the upstream that it runs on, the
 * incarnation of the agent that started it and a sequence number within that
 * incarnation. The random secret prevents callers from guessing the ids of
 * other callers' generations.
 */
struct generation_id {
    std::string upstream;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t secret = 0;

    bool operator==(const generation_id&) const = default;
};

/** Position in the token stream of a generation, sent as the SSE `id:`. */
struct stream_position {
    generation_id generation;
    std::uint64_t index = 0; ///< Index of the token in the event.

    bool operator==(const stream_position&) const = default;
};

/** Formats an incarnation or another 64-bit id in hexadecimal. */
std::string hex_of(std::uint64_t number);

std::string to_string(const generation_id& id);
std::string to_string(const stream_position& position);

/** Parses the output of to_string(); returns nothing for other text. */
std::optional<stream_position> parse_stream_position(std::string_view text);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_GENERATION_ID_HPP
