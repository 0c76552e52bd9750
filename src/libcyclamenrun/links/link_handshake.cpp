#include "link_handshake.hpp"

#include "digest.hpp"

namespace cyclamenrun
{

namespace
{

std::string proof(std::string_view key, std::string_view role,
                  const link_nonces& nonces)
{
    std::string text(role);
    text += nonces.client;
    text += nonces.server;
    return std::string(view_of(hmac_sha256(key, text)));
}

} // namespace

std::string server_proof(std::string_view key, const link_nonces& nonces)
{
    return proof(key, "server", nonces);
}

std::string client_proof(std::string_view key, const link_nonces& nonces)
{
    return proof(key, "client", nonces);
}

} // namespace cyclamenrun
