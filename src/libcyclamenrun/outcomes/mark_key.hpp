#ifndef CYCLAMENRUN_MARK_KEY_HPP
#define CYCLAMENRUN_MARK_KEY_HPP

#include <compare>
#include <cstdint>

namespace cyclamenrun
{

/** What marks that are kept are about. */
enum class mark_kind : std::uint8_t {
    request,   ///< losses under a request
    clearance, ///< a part of prompts that has run well
};

/** Names the marks of one request, or the clearance of one part. */
struct mark_key {
    mark_kind kind = mark_kind::request;
    std::uint64_t fingerprint = 0;

    auto operator<=>(const mark_key&) const = default;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MARK_KEY_HPP
