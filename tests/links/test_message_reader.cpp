#include "message_reader.hpp"

#include "config.pb.h"
#include "directory.pb.h"
#include "link.pb.h"
#include "load.pb.h"
#include "number_limits.hpp"
#include "operator.pb.h"
#include "peers.pb.h"

#include <cmath>
#include <google/protobuf/descriptor.h>
#include <gtest/gtest.h>
#include <limits>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cyclamenrun
{
namespace
{

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::MessageFactory;

/** All messages of the schema. */
std::vector<const Descriptor*> all_messages()
{
    std::vector<const Descriptor*> all;
    for (const auto* file : {v1::Service::descriptor()->file(),
                             v1::DirectoryCall::descriptor()->file(),
                             link::Dispatch::descriptor()->file(),
                             v1::MonitorRequest::descriptor()->file(),
                             v1::ApplyChangeRequest::descriptor()->file(),
                             v1::PeerMessage::descriptor()->file()})
        for (int i = 0; i < file->message_type_count(); ++i)
            all.push_back(file->message_type(i));
    return all;
}

bool is_number(const FieldDescriptor& field)
{
    return field.cpp_type() != FieldDescriptor::CPPTYPE_STRING &&
           field.cpp_type() != FieldDescriptor::CPPTYPE_BOOL &&
           field.cpp_type() != FieldDescriptor::CPPTYPE_ENUM &&
           field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE;
}

/** Sets a numeric field to the largest value of its type. */
void set_largest(Message& message, const FieldDescriptor& field)
{
    const auto& reflection = *message.GetReflection();
    constexpr auto u64 = std::numeric_limits<std::uint64_t>::max();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT64:
        if (field.is_repeated())
            reflection.AddUInt64(&message, &field, u64);
        else
            reflection.SetUInt64(&message, &field, u64);
        break;
    case FieldDescriptor::CPPTYPE_UINT32:
        reflection.SetUInt32(&message, &field,
                             std::numeric_limits<std::uint32_t>::max());
        break;
    case FieldDescriptor::CPPTYPE_INT64:
        reflection.SetInt64(&message, &field,
                            std::numeric_limits<std::int64_t>::min());
        break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        reflection.SetDouble(&message, &field,
                             std::numeric_limits<double>::quiet_NaN());
        break;
    default:
        FAIL() << field.full_name();
    }
}

// Guards against a number in a new message that nobody bounds.
TEST(message_reader, has_limits_for_each_number_of_the_schema)
{
    int numbers = 0;
    for (const auto* message : all_messages())
        for (int i = 0; i < message->field_count(); ++i) {
            const auto& field = *message->field(i);
            if (!is_number(field))
                continue;
            ++numbers;
            EXPECT_TRUE(number_kind_of(field)) << field.full_name();
        }
    EXPECT_GT(numbers, 90);
}

// Guards against arithmetic with a number that no sound process sends.
TEST(message_reader, rejects_numbers_beyond_their_limits)
{
    for (const auto* descriptor : all_messages())
        for (int i = 0; i < descriptor->field_count(); ++i) {
            const auto& field = *descriptor->field(i);
            if (!is_number(field))
                continue;
            const std::unique_ptr<Message> message(
                MessageFactory::generated_factory()
                    ->GetPrototype(descriptor)
                    ->New());
            set_largest(*message, field);
            const auto kind = number_kind_of(field);
            const bool free =
                kind == number_kind::opaque || kind == number_kind::validated;
            // The largest 32 bits are a possible time.
            const bool fits =
                kind == number_kind::time_span &&
                field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32;
            const auto error = find_out_of_range(*message);
            EXPECT_EQ(!error, free || fits) << field.full_name();
            EXPECT_TRUE(!error || error->field == field.name());
        }
}

TEST(message_reader, looks_into_nested_messages)
{
    v1::MonitorNotice notice;
    notice.mutable_load()->set_tokens_read_per_ms(INFINITY);
    const auto read =
        parse_message<v1::MonitorNotice>(notice.SerializeAsString());
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().problem, message_problem::out_of_range);
    EXPECT_EQ(read.error().message, "EngineLoad");
    EXPECT_EQ(read.error().field, "tokens_read_per_ms");
}

TEST(message_reader, accepts_numbers_up_to_their_limits)
{
    v1::MonitorRequest request;
    request.set_turn_tokens(number_limits::memory_tokens);
    auto& start = *request.mutable_start_wanted();
    start.set_prompt_tokens(number_limits::tokens);
    start.set_first_due_ms(-number_limits::duration_ms);
    const auto read =
        parse_message<v1::MonitorRequest>(request.SerializeAsString());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->start_wanted().prompt_tokens(), number_limits::tokens);
}

TEST(message_reader, counts_what_it_rejects)
{
    const auto key =
        std::pair(std::string("MonitorRequest"), message_problem::malformed);
    const auto before = process_rejected_messages().counts()[key];
    EXPECT_FALSE(parse_message<v1::MonitorRequest>("\xff\xff"));
    EXPECT_EQ(process_rejected_messages().counts()[key], before + 1);
}

// Guards against a flood of bad messages that fills the log.
TEST(rejected_messages, are_reported_once_a_second_for_each_kind)
{
    rejected_messages rejected;
    std::vector<std::uint64_t> reported;
    rejected.set_reporter([&](const message_error&, std::uint64_t count) {
        reported.push_back(count);
    });
    const message_error error{message_problem::out_of_range, "m", "f"};
    for (int ms = 0; ms < 2500; ms += 5)
        rejected.record(error, time_point(milliseconds(10000 + ms)));
    EXPECT_EQ(reported, (std::vector<std::uint64_t>{1, 201, 401}));
}

TEST(rejected_messages, have_a_bounded_number_of_kinds)
{
    rejected_messages rejected;
    for (int i = 0; i < 1000; ++i)
        rejected.record({message_problem::malformed, std::to_string(i), ""});
    EXPECT_LE(rejected.counts().size(), rejected_messages::max_kinds + 1);
}

} // namespace
} // namespace cyclamenrun
