#ifndef CYCLAMENRUN_KEY_HASH_HPP
#define CYCLAMENRUN_KEY_HASH_HPP

#include "secret.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Salted SHA-256 hash of a key, stored in place of the key. Keys are random
 * and have 256 bits (`cyclamenrunctl key new`), so a fast hash is sufficient.
 * The salt hides whether two teams or operators have the same key.
 */
struct key_hash {
    std::string salt; ///< `salt_size` bytes
    std::string hash; ///< 32 bytes

    bool operator==(const key_hash&) const = default;

    /** Compares in constant time. */
    bool matches(std::string_view key) const;

    static constexpr std::size_t salt_size = 16;
};

/** Hashes `key` with a fresh salt. */
key_hash make_key_hash(const secret& key);

/** Formats as `SALT:HASH` in hexadecimal, the form used in files. */
std::string to_string(const key_hash& hash);

/** Parses the output of to_string(); returns nothing for other text. */
std::optional<key_hash> parse_key_hash(std::string_view text);

/** Generates a random key that consists of letters and digits. */
secret make_key();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_KEY_HASH_HPP
