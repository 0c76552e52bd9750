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
    too_large, ///< The length prefix exceeds the bound.
};

/**
 * Splits a byte stream into frames. It buffers at most one frame, and rejects
 * a length that exceeds the bound before it buffers any byte of that frame.
 */
class link_frame_decoder
{
public:
    explicit link_frame_decoder(std::size_t max_frame_bytes)
        : max_frame_bytes_(max_frame_bytes)
    {
    }

    /**
     * Removes the bytes up to the end of the next frame from `input` and
     * returns the frame. Returns nothing if `input` ends before the frame.
     */
    tl::expected<std::optional<std::string>, frame_error>
    next(std::string_view& input);

    /** Whether a frame was received in part. */
    bool mid_frame() const { return prefix_size_ > 0; }

    /** Payload size of the partial frame; empty until its prefix is read. */
    std::optional<std::size_t> frame_size() const;

private:
    void read_prefix(std::string_view& input);

    std::size_t max_frame_bytes_;
    std::uint32_t size_ = 0;
    std::size_t prefix_size_ = 0;
    std::string payload_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_FRAME_DECODER_HPP
