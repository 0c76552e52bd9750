#ifndef CYCLAMENRUN_LINK_OUTPUT_HPP
#define CYCLAMENRUN_LINK_OUTPUT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Bytes that wait for the socket. Positions count from the start of the
 * connection, so that it can be told whether a byte was handed over.
 */
class link_output
{
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }
    std::string_view waiting() const
    {
        return std::string_view(buffer_).substr(offset_);
    }
    void handed_over(std::size_t count);

    /** Position of the next byte that append() takes. */
    std::uint64_t end() const { return sent_ + buffer_.size() - offset_; }
    /** Position of the first byte that the socket has not taken. */
    std::uint64_t sent() const { return sent_; }

private:
    std::string buffer_;
    std::size_t offset_ = 0;
    std::uint64_t sent_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_OUTPUT_HPP
