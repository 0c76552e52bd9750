#ifndef CYCLAMENRUN_HTTP_FRAMING_HPP
#define CYCLAMENRUN_HTTP_FRAMING_HPP

#include <cstdint>
#include <string_view>

namespace cyclamenrun
{

/** How a message marks the end of its body. */
enum class http_framing : std::uint8_t {
    length,     ///< `Content-Length`
    chunked,    ///< chunked transfer coding, with a last chunk
    none,       ///< no body and no framing field
    connection, ///< no framing field: the body ends with the connection
};

std::string_view name_of(http_framing framing);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_FRAMING_HPP
