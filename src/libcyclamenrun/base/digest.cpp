#include "digest.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace cyclamenrun
{

namespace
{

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

sha256_digest sha256(std::string_view bytes)
{
    sha256_digest digest{};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(),
               nullptr);
    return digest;
}

sha256_digest hmac_sha256(std::string_view key, std::string_view bytes)
{
    sha256_digest digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         bytes_of(bytes), bytes.size(), digest.data(), &length);
    return digest;
}

bool constant_time_equal(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_bytes(std::size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                   static_cast<int>(count)) != 1)
        throw std::runtime_error("OpenSSL failed to generate random bytes");
    return bytes;
}

std::uint64_t random_u64()
{
    std::uint64_t number = 0;
    for (const unsigned char byte : random_bytes(sizeof number))
        number = number << 8U | byte;
    return number;
}

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    // FNV-1a followed by the finalizer of splitmix64 to mix the high bits.
    std::uint64_t hash = 0xcbf29ce484222325U ^ seed;
    for (const unsigned char byte : bytes)
        hash = (hash ^ byte) * 0x100000001b3U;
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

} // namespace cyclamenrun
