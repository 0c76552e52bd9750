#ifndef CYCLAMENRUN_REPLAY_BUFFER_HPP
#define CYCLAMENRUN_REPLAY_BUFFER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenrun
{

/**
 * The tokens of one generation, numbered from 0, for resending them to a caller
 * that lost its connection. Tokens can be dropped only from the front. The
 * texts are concatenated in one string, so the overhead is 4 bytes per token.
 */
class replay_buffer
{
public:
    void append(std::string_view token);

    /** Drops the tokens before `index`; they can't be resent afterwards. */
    void drop_before(std::uint64_t index);

    std::uint64_t first_index() const { return first_index_; }
    std::uint64_t next_index() const { return first_index_ + ends_.size(); }
    std::size_t bytes() const { return text_.size(); }

    /** Whether read() may start at `index`, which may be next_index(). */
    bool contains(std::uint64_t index) const
    {
        return index >= first_index() && index <= next_index();
    }

    /**
     * Returns the tokens from `index` on that fit into `max_bytes`, but at
     * least one if the buffer has one. contains(index) must hold.
     */
    std::vector<std::string> read(std::uint64_t index,
                                  std::size_t max_bytes) const;

private:
    std::uint32_t start_of(std::size_t slot) const
    {
        return slot == 0 ? 0 : ends_[slot - 1];
    }

    std::uint64_t first_index_ = 0;
    std::string text_;
    std::vector<std::uint32_t> ends_; ///< end offset of each token in text_
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REPLAY_BUFFER_HPP
