#include "message_reader.hpp"

#include "number_limits.hpp"

#include <array>
#include <limits>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

namespace
{

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;
using enum number_kind;

struct number_row {
    std::string_view field; ///< full name
    number_kind kind;
};

constexpr std::array rows{
    number_row{"cyclamenrun.v1.Service.max_output_tokens", validated},
    number_row{"cyclamenrun.v1.Service.max_prompt_tokens", validated},
    number_row{"cyclamenrun.v1.Service.default_deadline_ms", validated},
    number_row{"cyclamenrun.v1.Team.weight", validated},
    number_row{"cyclamenrun.v1.Team.max_concurrent", validated},
    number_row{"cyclamenrun.v1.Team.tokens_per_second", validated},
    number_row{"cyclamenrun.v1.ChangeRecord.base_revision", position},
    number_row{"cyclamenrun.v1.ResourceState.revision", position},
    number_row{"cyclamenrun.v1.ChangeOutcome.revision", position},
    number_row{"cyclamenrun.v1.ChangeOutcome.fingerprint", opaque},
    number_row{"cyclamenrun.v1.ChangeOutcome.offset", position},
    number_row{"cyclamenrun.v1.ClaimState.incarnation", opaque},
    number_row{"cyclamenrun.v1.ClaimState.fencing_number", position},
    number_row{"cyclamenrun.v1.SnapshotRecord.next_offset", position},
    number_row{"cyclamenrun.v1.SnapshotRecord.snapshot_id", opaque},
    number_row{"cyclamenrun.v1.SnapshotRecord.part", count},
    number_row{"cyclamenrun.v1.SnapshotRecord.parts", count},
    number_row{"cyclamenrun.v1.ClaimRecord.incarnation", opaque},
    number_row{"cyclamenrun.v1.ClaimRecord.base_fencing_number", position},
    number_row{"cyclamenrun.v1.LogRecord.schema", validated},
    number_row{"cyclamenrun.v1.ConfigurationDelta.from_revision", position},
    number_row{"cyclamenrun.v1.ConfigurationDelta.to_revision", position},
    number_row{"cyclamenrun.v1.DeltaRecord.offset", position},
    number_row{"cyclamenrun.v1.DirectoryCall.from", position},
    number_row{"cyclamenrun.v1.DirectoryCall.wait_ms", time_span},
    number_row{"cyclamenrun.v1.DirectoryAnswer.next", position},
    number_row{"cyclamenrun.v1.DirectoryRecord.slots", count},
    number_row{"cyclamenrun.v1.DirectoryRecord.started_ms", unix_time},
    number_row{"cyclamenrun.v1.DirectoryRecord.cold_remaining_ms", time_span},
    number_row{"cyclamenrun.link.GenerationId.incarnation", opaque},
    number_row{"cyclamenrun.link.GenerationId.sequence", position},
    number_row{"cyclamenrun.link.GenerationId.secret", opaque},
    number_row{"cyclamenrun.link.Ticket.incarnation", opaque},
    number_row{"cyclamenrun.link.Ticket.nonce", opaque},
    number_row{"cyclamenrun.link.Ticket.expiry_ms", time_span},
    number_row{"cyclamenrun.link.Dispatch.time_left_ms", time_span},
    number_row{"cyclamenrun.link.Dispatch.prompt_tokens", tokens},
    number_row{"cyclamenrun.link.Dispatch.max_output_tokens", tokens},
    number_row{"cyclamenrun.link.Dispatch.fingerprint", opaque},
    number_row{"cyclamenrun.link.Dispatch.incarnation", opaque},
    number_row{"cyclamenrun.link.Dispatch.prefix_blocks", opaque},
    number_row{"cyclamenrun.link.Dispatch.prompt_parts", opaque},
    number_row{"cyclamenrun.link.Dispatch.team_weight", count},
    number_row{"cyclamenrun.link.Dispatch.attempt", count},
    number_row{"cyclamenrun.link.Resume.next_index", position},
    number_row{"cyclamenrun.link.Resume.incarnation", opaque},
    number_row{"cyclamenrun.link.Cancel.incarnation", opaque},
    number_row{"cyclamenrun.link.Drain.reclaim_in_ms", time_span},
    number_row{"cyclamenrun.link.Tokens.first_index", position},
    number_row{"cyclamenrun.link.Finished.token_count", position},
    number_row{"cyclamenrun.link.CallAnswer.status", count},
    number_row{"cyclamenrun.link.Refused.kind", validated},
    number_row{"cyclamenrun.link.Refused.reason", validated},
    number_row{"cyclamenrun.link.Refused.retry_after_ms", time_span},
    number_row{"cyclamenrun.link.LoadReport.incarnation", opaque},
    number_row{"cyclamenrun.link.LoadReport.uptime_ms", time_span},
    number_row{"cyclamenrun.link.LoadReport.running", count},
    number_row{"cyclamenrun.link.LoadReport.queued", count},
    number_row{"cyclamenrun.link.LoadReport.memory_tokens_used", memory_tokens},
    number_row{"cyclamenrun.link.LoadReport.memory_tokens_total",
               memory_tokens},
    number_row{"cyclamenrun.link.LoadReport.expected_wait_ms", time_span},
    number_row{"cyclamenrun.link.LoadReport.queued_tokens", memory_tokens},
    number_row{"cyclamenrun.link.AgentFrame.loss", opaque},
    number_row{"cyclamenrun.link.PoisonMark.fingerprint", opaque},
    number_row{"cyclamenrun.link.PoisonMark.loss", opaque},
    number_row{"cyclamenrun.link.PoisonMark.age_ms", time_span},
    number_row{"cyclamenrun.link.PoisonMark.parts", opaque},
    number_row{"cyclamenrun.link.PoisonMark.lasting_ms", time_span},
    number_row{"cyclamenrun.link.PoisonMark.number", count},
    number_row{"cyclamenrun.link.Heartbeat.config_revision", position},
    number_row{"cyclamenrun.link.Heartbeat.marks_seen", position},
    number_row{"cyclamenrun.link.Heartbeat.wait_ms", time_span},
    number_row{"cyclamenrun.link.Heartbeat.known_change", position},
    number_row{"cyclamenrun.link.Heartbeat.known_revision", position},
    number_row{"cyclamenrun.link.HeartbeatReply.config_revision", position},
    number_row{"cyclamenrun.link.HeartbeatReply.marks_version", position},
    number_row{"cyclamenrun.link.HeartbeatReply.load_change", position},
    number_row{"cyclamenrun.v1.MonitorRequest.turn_tokens", memory_tokens},
    number_row{"cyclamenrun.v1.StartWanted.prompt_tokens", tokens},
    number_row{"cyclamenrun.v1.StartWanted.output_tokens", tokens},
    number_row{"cyclamenrun.v1.StartWanted.first_due_ms", signed_time_span},
    number_row{"cyclamenrun.v1.StartWanted.slots", count},
    number_row{"cyclamenrun.v1.StartWanted.gap_target_ms", time_span},
    number_row{"cyclamenrun.v1.RelayedEvents.events", count},
    number_row{"cyclamenrun.v1.RelayedEvents.total_ms", time_span},
    number_row{"cyclamenrun.v1.MonitorNotice.gateways", count},
    number_row{"cyclamenrun.v1.GatewayCount.gateways", count},
    number_row{"cyclamenrun.v1.GatewayCount.age_ms", time_span},
    number_row{"cyclamenrun.v1.EngineIdentity.cold_remaining_ms", time_span},
    number_row{"cyclamenrun.v1.StartGiven.slots_taken", count},
    number_row{"cyclamenrun.v1.StartGiven.memory_taken", memory_tokens},
    number_row{"cyclamenrun.v1.StartGiven.late_streams", rate},
    number_row{"cyclamenrun.v1.EngineLoad.running", count},
    number_row{"cyclamenrun.v1.EngineLoad.queued", count},
    number_row{"cyclamenrun.v1.EngineLoad.memory_used", memory_tokens},
    number_row{"cyclamenrun.v1.EngineLoad.memory_total", memory_tokens},
    number_row{"cyclamenrun.v1.EngineLoad.leaves_in_ms", time_span},
    number_row{"cyclamenrun.v1.EngineLoad.unread_ms", time_span},
    number_row{"cyclamenrun.v1.EngineLoad.tokens_read_per_ms", speed},
    number_row{"cyclamenrun.v1.EngineLoad.started_ms", unix_time},
    number_row{"cyclamenrun.v1.Accepted.revision", position},
    number_row{"cyclamenrun.v1.Conflict.current_revision", position},
    number_row{"cyclamenrun.v1.DrainUpstreamResponse.running", count},
    number_row{"cyclamenrun.v1.ListResourcesResponse.revision", position},
    number_row{"cyclamenrun.v1.FindChangeResponse.revision", position},
    number_row{"cyclamenrun.v1.ProcessRevision.revision", position},
    number_row{"cyclamenrun.v1.ProcessRevision.heard_ms_ago", time_span},
    number_row{"cyclamenrun.v1.PeerMessage.incarnation", opaque},
    number_row{"cyclamenrun.v1.PeerMessage.receiver_incarnation", opaque},
    number_row{"cyclamenrun.v1.KeptMarks.written_at_ms", unix_time},
    number_row{"cyclamenrun.v1.UpstreamLimit.limit", rate},
    number_row{"cyclamenrun.v1.UpstreamLimit.age_ms", time_span},
    number_row{"cyclamenrun.v1.RepeatLoan.amount", rate},
    number_row{"cyclamenrun.v1.RepeatLoan.number", opaque},
    number_row{"cyclamenrun.v1.KnownPeer.age_ms", time_span},
    number_row{"cyclamenrun.v1.TablePosition.after", position},
    number_row{"cyclamenrun.v1.TablePosition.up_to", position},
    number_row{"cyclamenrun.v1.TablePosition.acknowledged", position},
};

const std::unordered_map<std::string_view, number_kind>& kinds()
{
    static const auto table = [] {
        std::unordered_map<std::string_view, number_kind> kinds;
        for (const auto& row : rows)
            kinds.emplace(row.field, row.kind);
        return kinds;
    }();
    return table;
}

bool is_allowed(number_kind kind, std::uint64_t value)
{
    switch (kind) {
    case opaque:
    case validated:
        return true;
    case position:
        return value <= number_limits::position;
    case tokens:
        return value <= number_limits::tokens;
    case memory_tokens:
        return value <= number_limits::memory_tokens;
    case count:
        return value <= number_limits::count;
    case time_span:
        return value <= static_cast<std::uint64_t>(number_limits::duration_ms);
    default:
        return false;
    }
}

bool is_allowed(number_kind kind, std::int64_t value)
{
    switch (kind) {
    case signed_time_span:
        return value >= -number_limits::duration_ms &&
               value <= number_limits::duration_ms;
    case unix_time:
        return value >= 0 && value <= number_limits::unix_time_ms;
    default:
        return value >= 0 &&
               is_allowed(kind, static_cast<std::uint64_t>(value));
    }
}

bool is_allowed(number_kind kind, double value)
{
    switch (kind) {
    case rate:
        return is_within(value, 0, number_limits::rate);
    case speed:
        return value == 0 || is_within(value, number_limits::min_speed,
                                       number_limits::max_speed);
    default:
        return false;
    }
}

/** Calls `check` with the value of a numeric field; `index` if repeated. */
template <typename Check>
bool check_number(const Message& message, const Reflection& reflection,
                  const FieldDescriptor& field, int index, Check check)
{
    const bool repeated = field.is_repeated();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT64:
        return check(repeated
                         ? reflection.GetRepeatedUInt64(message, &field, index)
                         : reflection.GetUInt64(message, &field));
    case FieldDescriptor::CPPTYPE_UINT32:
        return check(std::uint64_t(
            repeated ? reflection.GetRepeatedUInt32(message, &field, index)
                     : reflection.GetUInt32(message, &field)));
    case FieldDescriptor::CPPTYPE_INT64:
        return check(repeated
                         ? reflection.GetRepeatedInt64(message, &field, index)
                         : reflection.GetInt64(message, &field));
    case FieldDescriptor::CPPTYPE_INT32:
        return check(std::int64_t(
            repeated ? reflection.GetRepeatedInt32(message, &field, index)
                     : reflection.GetInt32(message, &field)));
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return check(repeated
                         ? reflection.GetRepeatedDouble(message, &field, index)
                         : reflection.GetDouble(message, &field));
    case FieldDescriptor::CPPTYPE_FLOAT:
        return check(double(
            repeated ? reflection.GetRepeatedFloat(message, &field, index)
                     : reflection.GetFloat(message, &field)));
    default:
        return true;
    }
}

bool is_number(const FieldDescriptor& field)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
    case FieldDescriptor::CPPTYPE_BOOL:
    case FieldDescriptor::CPPTYPE_ENUM:
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return false;
    default:
        return true;
    }
}

std::optional<message_error>
find_in_field(const Message& message, const FieldDescriptor& field, int index)
{
    const auto& reflection = *message.GetReflection();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
        return find_out_of_range(
            field.is_repeated()
                ? reflection.GetRepeatedMessage(message, &field, index)
                : reflection.GetMessage(message, &field));
    if (!is_number(field))
        return std::nullopt;
    const auto kind = number_kind_of(field);
    const bool allowed =
        kind &&
        check_number(message, reflection, field, index,
                     [&](auto value) { return is_allowed(*kind, value); });
    if (allowed)
        return std::nullopt;
    return message_error{message_problem::out_of_range,
                         message.GetDescriptor()->name(), field.name()};
}

} // namespace

std::optional<number_kind> number_kind_of(const FieldDescriptor& field)
{
    const auto found = kinds().find(field.full_name());
    if (found == kinds().end())
        return std::nullopt;
    return found->second;
}

std::optional<message_error> find_out_of_range(const Message& message)
{
    std::vector<const FieldDescriptor*> fields;
    message.GetReflection()->ListFields(message, &fields);
    for (const auto* field : fields) {
        const int size =
            field->is_repeated()
                ? message.GetReflection()->FieldSize(message, field)
                : 1;
        for (int index = 0; index < size; ++index)
            if (auto error = find_in_field(message, *field, index))
                return error;
    }
    return std::nullopt;
}

tl::expected<void, message_error>
read_checked(std::string_view bytes, google::protobuf::Message& message)
{
    std::optional<message_error> error;
    const bool parsed =
        bytes.size() <= std::numeric_limits<int>::max() &&
        message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (parsed)
        error = find_out_of_range(message);
    else
        error = message_error{
            message_problem::malformed, message.GetDescriptor()->name(), {}};
    if (!error)
        return {};
    process_rejected_messages().record(*error);
    return tl::unexpected(std::move(*error));
}

} // namespace cyclamenrun
