#ifndef CYCLAMENRUN_LINK_HANDSHAKE_HPP
#define CYCLAMENRUN_LINK_HANDSHAKE_HPP

#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * How the two ends of a connection prove the shared key to each other: the
 * client sends its nonce to `/hello`, the server answers with its own and a
 * proof over both, and the client sends its proof to `/prove`. Fresh nonces
 * make a recorded proof worthless; the role in each proof keeps one side's
 * from being sent back as the other's.
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
