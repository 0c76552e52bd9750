#ifndef CYCLAMENRUN_HTTP_TEXT_HPP
#define CYCLAMENRUN_HTTP_TEXT_HPP

#include "http_framing.hpp"
#include "http_head.hpp"

#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Returns the serialized head, with the framing fields added. `head` must not
 * contain framing fields itself.
 */
std::string request_text(const http_head& head, http_framing framing,
                         std::size_t body_bytes);
std::string response_text(const http_head& head, http_framing framing,
                          std::size_t body_bytes);

/** Returns one chunk of a chunked body, or empty text for empty bytes. */
std::string chunk_text(std::string_view bytes);

inline constexpr std::string_view last_chunk_text = "0\r\n\r\n";

/** Returns the standard phrase for a status, or a generic one if unknown. */
std::string_view reason_phrase(unsigned status);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_TEXT_HPP
