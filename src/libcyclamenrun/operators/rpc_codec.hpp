#ifndef CYCLAMENRUN_RPC_CODEC_HPP
#define CYCLAMENRUN_RPC_CODEC_HPP

#include <cstdint>
#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** How a message is written in a body. */
enum class rpc_encoding : std::uint8_t { proto, json };

/** By the `Content-Type`, parameters such as a charset left aside. */
std::optional<rpc_encoding> parse_rpc_encoding(std::string_view content_type);
std::string_view content_type_of(rpc_encoding encoding);

/** False when the body is not a message of that type. */
bool decode_rpc_body(rpc_encoding encoding, const std::string& body,
                     google::protobuf::Message& message);

/** Empty when the message cannot be written, as with text that is not UTF-8. */
std::optional<std::string>
encode_rpc_body(rpc_encoding encoding,
                const google::protobuf::Message& message);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RPC_CODEC_HPP
