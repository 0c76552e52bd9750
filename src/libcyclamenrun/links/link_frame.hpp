#ifndef CYCLAMENRUN_LINK_FRAME_HPP
#define CYCLAMENRUN_LINK_FRAME_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Size of the big-endian length that precedes each frame. */
constexpr std::size_t frame_prefix_bytes = 4;

/**
 * Appends the length of `payload` and then `payload`, which must be smaller
 * than 4 GiB.
 */
void append_frame(std::string& out, std::string_view payload);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_FRAME_HPP
