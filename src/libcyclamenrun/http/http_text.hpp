#ifndef CYCLAMENRUN_HTTP_TEXT_HPP
#define CYCLAMENRUN_HTTP_TEXT_HPP

#include "http_head.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** How the end of a body that is written is told. */
enum class http_framing : std::uint8_t {
    length,  ///< `Content-Length`, the body is known whole
    chunked, ///< its end is told by a last chunk
    none,    ///< no body and no field that speaks of one
};

/** The head as bytes; framing fields are written here and nowhere else. */
std::string request_text(const http_head& head, http_framing framing,
                         std::size_t body_bytes);
std::string response_text(const http_head& head, http_framing framing,
                          std::size_t body_bytes);

/** One chunk of a chunked body. Empty bytes give an empty text. */
std::string chunk_text(std::string_view bytes);

inline constexpr std::string_view last_chunk_text = "0\r\n\r\n";

/** The usual phrase for a status; a general one for others. */
std::string_view reason_phrase(unsigned status);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_TEXT_HPP
