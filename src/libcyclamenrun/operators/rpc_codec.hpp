#ifndef CYCLAMENRUN_RPC_CODEC_HPP
#define CYCLAMENRUN_RPC_CODEC_HPP

#include <cstdint>
#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Encoding of a message in an HTTP body. */
enum class rpc_encoding : std::uint8_t { proto, json };

/**
 * Returns the encoding for a `Content-Type`; ignores parameters such as a
 * charset.
 */
std::optional<rpc_encoding> parse_rpc_encoding(std::string_view content_type);
std::string_view content_type_of(rpc_encoding encoding);

/** Returns false if the body can't be decoded as the type of `message`. */
bool decode_rpc_body(rpc_encoding encoding, const std::string& body,
                     google::protobuf::Message& message);

/**
 * Returns the encoded message; empty if it cannot be encoded, for example
 * because a string is not valid UTF-8.
 */
std::optional<std::string>
encode_rpc_body(rpc_encoding encoding,
                const google::protobuf::Message& message);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_CODEC_HPP
