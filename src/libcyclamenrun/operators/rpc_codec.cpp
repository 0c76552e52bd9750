#include "rpc_codec.hpp"

#include "message_reader.hpp"

#include <google/protobuf/util/json_util.h>

namespace cyclamenrun
{

namespace
{

constexpr std::string_view proto_type = "application/proto";
constexpr std::string_view json_type = "application/json";

std::string_view without_parameters(std::string_view content_type)
{
    const auto end = content_type.find_first_of("; ");
    return content_type.substr(0, end);
}

} // namespace

std::optional<rpc_encoding> parse_rpc_encoding(std::string_view content_type)
{
    const auto type = without_parameters(content_type);
    if (type == proto_type)
        return rpc_encoding::proto;
    if (type == json_type)
        return rpc_encoding::json;
    return std::nullopt;
}

std::string_view content_type_of(rpc_encoding encoding)
{
    return encoding == rpc_encoding::proto ? proto_type : json_type;
}

bool decode_rpc_body(rpc_encoding encoding, const std::string& body,
                     google::protobuf::Message& message)
{
    if (encoding == rpc_encoding::proto)
        return read_checked(body, message).has_value();
    // A newer client may send fields that are unknown to this release.
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (!google::protobuf::util::JsonStringToMessage(body, &message, options)
             .ok())
        return false;
    const auto error = find_out_of_range(message);
    if (error)
        process_rejected_messages().record(*error);
    return !error;
}

std::optional<std::string>
encode_rpc_body(rpc_encoding encoding, const google::protobuf::Message& message)
{
    std::string body;
    if (encoding == rpc_encoding::proto) {
        if (!message.SerializeToString(&body))
            return std::nullopt;
        return body;
    }
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    if (!google::protobuf::util::MessageToJsonString(message, &body, options)
             .ok())
        return std::nullopt;
    return body;
}

} // namespace cyclamenrun
