#ifndef CYCLAMENRUN_LINK_OUTPUT_HPP
#define CYCLAMENRUN_LINK_OUTPUT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Output of a connection that is not written to the socket yet. Positions
 * count bytes from the start of the connection, so that a caller can tell
 * whether a given byte was written.
 */
class link_output
{
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }
    std::string_view unsent() const
    {
        return std::string_view(buffer_).substr(offset_);
    }
    void record_sent(std::size_t count);

    /** Position of the next byte to be appended. */
    std::uint64_t end() const { return sent_ + buffer_.size() - offset_; }
    /** Position of the first byte that is not written to the socket. */
    std::uint64_t sent() const { return sent_; }

private:
    std::string buffer_;
    std::size_t offset_ = 0;
    std::uint64_t sent_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_OUTPUT_HPP
