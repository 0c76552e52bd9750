#include "key_hash.hpp"

#include "digest.hpp"
#include "hex.hpp"

namespace cyclamenrun
{

namespace
{

constexpr std::size_t key_bytes = 32;

std::string hash_of(std::string_view salt, std::string_view key)
{
    std::string salted(salt);
    salted += key;
    return std::string(view_of(sha256(salted)));
}

} // namespace

bool key_hash::matches(std::string_view key) const
{
    return constant_time_equal(hash_of(salt, key), hash);
}

key_hash make_key_hash(const secret& key)
{
    auto salt = random_bytes(key_hash::salt_size);
    auto hash = hash_of(salt, key.reveal());
    return {std::move(salt), std::move(hash)};
}

std::string to_string(const key_hash& hash)
{
    return to_hex(hash.salt) + ':' + to_hex(hash.hash);
}

std::optional<key_hash> parse_key_hash(std::string_view text)
{
    const auto colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto salt = from_hex(text.substr(0, colon));
    auto hash = from_hex(text.substr(colon + 1));
    if (!salt || salt->size() != key_hash::salt_size)
        return std::nullopt;
    if (!hash || hash->size() != std::tuple_size_v<sha256_digest>)
        return std::nullopt;
    return key_hash{std::move(*salt), std::move(*hash)};
}

secret make_key()
{
    return secret(to_hex(random_bytes(key_bytes)));
}

} // namespace cyclamenrun
