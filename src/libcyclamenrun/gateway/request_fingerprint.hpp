#ifndef CYCLAMENRUN_REQUEST_FINGERPRINT_HPP
#define CYCLAMENRUN_REQUEST_FINGERPRINT_HPP

#include "http_head.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Identifies the work of a request: equal for all requests of a team with the
 * same method, host, target and body, whatever their ids.
 */
std::uint64_t request_fingerprint(std::string_view team, const http_head& head,
                                  std::string_view body);

/** Formats a fingerprint as 16 hexadecimal digits, as it is logged. */
std::string fingerprint_text(std::uint64_t fingerprint);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_FINGERPRINT_HPP
