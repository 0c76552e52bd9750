#ifndef CYCLAMENRUN_DIGEST_HPP
#define CYCLAMENRUN_DIGEST_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenrun
{

using sha256_digest = std::array<std::uint8_t, 32>;

sha256_digest sha256(std::string_view bytes);
sha256_digest hmac_sha256(std::string_view key, std::string_view bytes);

/**
 * Compares in a time that does not depend on the position of the first
 * difference, to prevent timing attacks.
 */
bool constant_time_equal(std::string_view left, std::string_view right);

/**
 * Returns cryptographically secure random bytes. Throws std::runtime_error if
 * none can be generated.
 */
std::string random_bytes(std::size_t count);
std::uint64_t random_u64();

/** Fast hash for fingerprints and placement; not secure for secrets. */
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

inline std::string_view view_of(const sha256_digest& digest)
{
    return {reinterpret_cast<const char*>(digest.data()), digest.size()};
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIGEST_HPP
