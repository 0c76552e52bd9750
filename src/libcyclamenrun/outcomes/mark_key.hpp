#ifndef CYCLAMENRUN_MARK_KEY_HPP
#define CYCLAMENRUN_MARK_KEY_HPP

#include <cstdint>
#include <tuple>

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

    friend bool operator==(const mark_key& left, const mark_key& right)
    {
        return left.kind == right.kind && left.fingerprint == right.fingerprint;
    }

    friend bool operator<(const mark_key& left, const mark_key& right)
    {
        return std::tie(left.kind, left.fingerprint) <
               std::tie(right.kind, right.fingerprint);
    }
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MARK_KEY_HPP
