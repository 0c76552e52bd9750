#ifndef CYCLAMENRUN_KEY_HASH_HPP
#define CYCLAMENRUN_KEY_HASH_HPP

#include "secret.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * What is kept of a key: SHA-256 over salt and key. Keys are drawn at random
 * by `cyclamenrunctl key new` with 256 bits, so a fast hash is enough; the
 * salt keeps equal hashes from showing that two keys are one.
 */
struct key_hash {
    std::string salt; ///< `salt_size` bytes
    std::string hash; ///< 32 bytes

    bool operator==(const key_hash&) const = default;

    /** In constant time. */
    bool matches(std::string_view key) const;

    static constexpr std::size_t salt_size = 16;
};

/** Hashes `key` with a fresh salt. */
key_hash make_key_hash(const secret& key);

/** `SALT:HASH` in hexadecimal, as settings and configuration files hold it. */
std::string to_string(const key_hash& hash);

/** Empty for anything that to_string() could not have written. */
std::optional<key_hash> parse_key_hash(std::string_view text);

/** A new random key, of letters and digits only. */
secret make_key();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_KEY_HASH_HPP
