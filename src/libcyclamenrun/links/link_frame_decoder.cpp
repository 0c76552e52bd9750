#include "link_frame_decoder.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

void link_frame_decoder::read_prefix(std::string_view& input)
{
    while (prefix_size_ < frame_prefix_bytes && !input.empty()) {
        size_ = (size_ << 8U) | static_cast<std::uint8_t>(input.front());
        input.remove_prefix(1);
        ++prefix_size_;
    }
}

std::optional<std::size_t> link_frame_decoder::frame_size() const
{
    if (prefix_size_ < frame_prefix_bytes)
        return std::nullopt;
    return size_;
}

tl::expected<std::optional<std::string>, frame_error>
link_frame_decoder::next(std::string_view& input)
{
    read_prefix(input);
    if (prefix_size_ < frame_prefix_bytes)
        return std::nullopt;
    if (size_ > max_frame_bytes_)
        return tl::make_unexpected(frame_error::too_large);
    const std::size_t part = std::min(size_ - payload_.size(), input.size());
    payload_.append(input.substr(0, part));
    input.remove_prefix(part);
    if (payload_.size() < size_)
        return std::nullopt;
    prefix_size_ = 0;
    size_ = 0;
    return std::exchange(payload_, {});
}

} // namespace cyclamenrun
