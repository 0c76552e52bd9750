#include "replay_buffer.hpp"

namespace cyclamenrun
{

void replay_buffer::append(std::string_view token)
{
    text_.append(token);
    ends_.push_back(static_cast<std::uint32_t>(text_.size()));
}

void replay_buffer::drop_before(std::uint64_t index)
{
    if (index <= first_index_)
        return;
    const auto count =
        std::min<std::uint64_t>(index - first_index_, ends_.size());
    const auto dropped_bytes = start_of(count);
    text_.erase(0, dropped_bytes);
    ends_.erase(ends_.begin(),
                ends_.begin() + static_cast<std::ptrdiff_t>(count));
    for (auto& end : ends_)
        end -= dropped_bytes;
    first_index_ += count;
}

std::vector<std::string> replay_buffer::read(std::uint64_t index,
                                             std::size_t max_bytes) const
{
    std::vector<std::string> tokens;
    std::size_t taken = 0;
    for (auto slot = index - first_index_; slot < ends_.size(); ++slot) {
        const auto start = start_of(slot);
        const auto size = ends_[slot] - start;
        if (!tokens.empty() && taken + size > max_bytes)
            break;
        tokens.push_back(text_.substr(start, size));
        taken += size;
    }
    return tokens;
}

} // namespace cyclamenrun
