#include "link_output.hpp"

namespace cyclamenrun
{

namespace
{

/** An empty buffer whose capacity exceeds this size is freed. */
constexpr std::size_t max_kept_capacity_bytes = std::size_t{16} << 10;

} // namespace

void link_output::record_sent(std::size_t count)
{
    offset_ += count;
    sent_ += count;
    if (offset_ < buffer_.size())
        return;
    offset_ = 0;
    buffer_.clear();
    if (buffer_.capacity() > max_kept_capacity_bytes)
        buffer_.shrink_to_fit();
}

} // namespace cyclamenrun
