#ifndef CYCLAMENRUN_LINK_HANDSHAKE_HPP
#define CYCLAMENRUN_LINK_HANDSHAKE_HPP

#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * Mutual authentication of the two ends of a connection by a shared key. The
 * client sends its nonce to `/hello`, the server answers with its own nonce
 * and an HMAC over both, and the client sends its HMAC to `/prove`. Fresh
 * nonces prevent the replay of a recorded proof. Each proof includes the role
 * of its sender, so that it can't be reflected to the sender.
 */
constexpr std::string_view hello_path = "/hello";
constexpr std::string_view prove_path = "/prove";
constexpr std::size_t nonce_bytes = 32;

struct link_nonces {
    std::string client;
    std::string server;
};

std::string server_proof(std::string_view key, const link_nonces& nonces);
std::string client_proof(std::string_view key, const link_nonces& nonces);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_HANDSHAKE_HPP
