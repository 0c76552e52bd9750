#ifndef CYCLAMENRUN_MESSAGE_READER_HPP
#define CYCLAMENRUN_MESSAGE_READER_HPP

#include "rejected_messages.hpp"

#include <google/protobuf/message.h>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

/** What a number in a message means, and so its limits. */
enum class number_kind : std::uint8_t {
    opaque,    ///< compared only: ids, fingerprints
    validated, ///< checked where it is read, with an error of its own
    position,
    tokens,
    memory_tokens,
    count,
    time_span,
    signed_time_span,
    unix_time,
    rate,
    speed, ///< of reading prompts; zero: unknown
};

/** The kind of a numeric field; empty for one that has none in the table. */
std::optional<number_kind>
number_kind_of(const google::protobuf::FieldDescriptor& field);

/** Returns the first number of a message that is beyond its limits. */
std::optional<message_error>
find_out_of_range(const google::protobuf::Message& message);

/**
 * Parses a message and checks each number in it. An error is counted, see
 * process_rejected_messages().
 */
tl::expected<void, message_error>
read_checked(std::string_view bytes, google::protobuf::Message& message);

/** Parses a message of this type as read_checked() does. */
template <typename Message>
tl::expected<Message, message_error> parse_message(std::string_view bytes)
{
    Message message;
    if (const auto read = read_checked(bytes, message); !read)
        return tl::unexpected(read.error());
    return message;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MESSAGE_READER_HPP
