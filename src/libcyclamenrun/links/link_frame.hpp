#ifndef CYCLAMENRUN_LINK_FRAME_HPP
#define CYCLAMENRUN_LINK_FRAME_HPP

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Bytes of the big-endian length before each frame. */
constexpr std::size_t frame_prefix_bytes = 4;

/** Appends `payload` behind its length; payloads stay below 4 GiB. */
void append_frame(std::string& out, std::string_view payload);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_FRAME_HPP
