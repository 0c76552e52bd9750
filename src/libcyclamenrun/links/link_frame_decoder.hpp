#ifndef CYCLAMENRUN_LINK_FRAME_DECODER_HPP
#define CYCLAMENRUN_LINK_FRAME_DECODER_HPP

#include "link_frame.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

enum class frame_error : std::uint8_t {
    too_large, ///< The length before the frame is over the bound.
};

/**
 * Cuts a stream of bytes back into frames. It never holds more than one
 * frame, and refuses a length over the bound before it keeps a byte of it.
 */
class link_frame_decoder
{
public:
    explicit link_frame_decoder(std::size_t max_frame_bytes)
        : max_frame_bytes_(max_frame_bytes)
    {
    }

    /**
     * Takes bytes off the front of `input` up to the end of the next frame.
     * Empty when `input` is used up before that.
     */
    tl::expected<std::optional<std::string>, frame_error>
    next(std::string_view& input);

    /** Whether a frame has begun and not ended. */
    bool mid_frame() const { return prefix_size_ > 0; }

    /** Size of the frame that has begun, once its length is known. */
    std::optional<std::size_t> frame_size() const;

private:
    void take_prefix(std::string_view& input);

    std::size_t max_frame_bytes_;
    std::uint32_t size_ = 0;
    std::size_t prefix_size_ = 0;
    std::string payload_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_FRAME_DECODER_HPP
