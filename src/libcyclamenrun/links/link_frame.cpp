#include "link_frame.hpp"

namespace cyclamenrun
{

void append_frame(std::string& out, std::string_view payload)
{
    const std::size_t size = payload.size();
    for (int shift = 24; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((size >> shift) & 0xff));
    out.append(payload);
}

} // namespace cyclamenrun
