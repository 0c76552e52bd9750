#include "directory_messages.hpp"

#include "cold_limits.hpp"
#include "directory.pb.h"

#include <utility>

namespace cyclamenrun
{

namespace
{

std::optional<upstream_record> record_of(const std::string& id,
                                         const v1::DirectoryRecord& message)
{
    const auto address = parse_ip_endpoint(message.address());
    if (!address || address->port == 0 || message.service().empty())
        return std::nullopt;
    upstream_record record;
    record.id = id;
    record.service = message.service();
    record.address = *address;
    record.failure_domain = message.failure_domain();
    record.slots = message.slots();
    record.draining = message.draining();
    record.started_ms = message.started_ms();
    record.version = message.version();
    if (message.has_cold_remaining_ms())
        record.cold_until = cold_deadline(
            milliseconds(message.cold_remaining_ms()), steady_now());
    return record;
}

void add_item(const upstream_change& change, v1::DirectoryAnswer& answer)
{
    auto& message = *answer.add_changes();
    message.set_id(change.id);
    if (!change.record)
        return;
    auto& record = *message.mutable_record();
    record.set_service(change.record->service);
    record.set_address(to_string(change.record->address));
    record.set_failure_domain(change.record->failure_domain);
    record.set_slots(change.record->slots);
    record.set_draining(change.record->draining);
    record.set_started_ms(change.record->started_ms);
    record.set_version(change.record->version);
    if (change.record->cold_until)
        record.set_cold_remaining_ms(static_cast<std::uint64_t>(
            time_left(*change.record->cold_until, steady_now()).count()));
}

void add_item(const configuration_text_record& record,
              v1::DirectoryAnswer& answer)
{
    if (const auto* text = std::get_if<configuration_text>(&record)) {
        answer.add_configurations(text->text);
        return;
    }
    const auto& evacuation = std::get<evacuation_change>(record);
    auto& message = *answer.add_evacuations();
    message.set_failure_domain(evacuation.failure_domain);
    message.set_ended(!evacuation.evacuated);
}

v1::DirectoryProblem message_of(directory_problem problem)
{
    switch (problem) {
    case directory_problem::history_gone:
        return v1::DIRECTORY_PROBLEM_HISTORY_GONE;
    case directory_problem::leaving:
        return v1::DIRECTORY_PROBLEM_LEAVING;
    case directory_problem::unavailable:
        break;
    }
    return v1::DIRECTORY_PROBLEM_UNAVAILABLE;
}

template <typename Item>
v1::DirectoryAnswer make_answer(const directory_page<Item>& page)
{
    v1::DirectoryAnswer answer;
    answer.set_next(page.next_offset);
    answer.set_complete(!page.partial);
    for (const auto& item : page.items)
        add_item(item, answer);
    return answer;
}

std::optional<answer_problem> problem_of(const v1::DirectoryAnswer& answer)
{
    switch (answer.problem()) {
    case v1::DIRECTORY_PROBLEM_NONE:
        return std::nullopt;
    case v1::DIRECTORY_PROBLEM_UNAVAILABLE:
        return answer_problem::unavailable;
    case v1::DIRECTORY_PROBLEM_HISTORY_GONE:
        return answer_problem::history_gone;
    case v1::DIRECTORY_PROBLEM_LEAVING:
        return answer_problem::leaving;
    default:
        return answer_problem::malformed;
    }
}

} // namespace

std::string_view name_of(answer_problem problem)
{
    switch (problem) {
    case answer_problem::unavailable:
        return "unavailable";
    case answer_problem::history_gone:
        return "history_gone";
    case answer_problem::leaving:
        return "leaving";
    case answer_problem::malformed:
        return "malformed";
    }
    return "malformed";
}

v1::DirectoryAnswer answer_of(const directory_page<upstream_change>& page)
{
    return make_answer(page);
}

v1::DirectoryAnswer
answer_of(const directory_page<configuration_text_record>& page)
{
    return make_answer(page);
}

v1::DirectoryAnswer answer_of(directory_problem problem)
{
    v1::DirectoryAnswer answer;
    answer.set_problem(message_of(problem));
    return answer;
}

std::string page_bytes(const directory_page<upstream_change>& page)
{
    return answer_of(page).SerializeAsString();
}

std::string page_bytes(const directory_page<configuration_text_record>& page)
{
    return answer_of(page).SerializeAsString();
}

std::string refusal_bytes(directory_problem problem)
{
    return answer_of(problem).SerializeAsString();
}

tl::expected<directory_page<upstream_change>, answer_problem>
read_upstreams(const v1::DirectoryAnswer& answer)
{
    if (const auto problem = problem_of(answer))
        return tl::unexpected(*problem);
    directory_page<upstream_change> page;
    page.next_offset = answer.next();
    page.partial = !answer.complete();
    for (const auto& change : answer.changes()) {
        upstream_change item{change.id(), std::nullopt};
        if (change.has_record())
            item.record = record_of(change.id(), change.record());
        if (change.id().empty() || change.has_record() != !!item.record)
            return tl::unexpected(answer_problem::malformed);
        page.items.push_back(std::move(item));
    }
    return page;
}

tl::expected<directory_page<configuration_record>, answer_problem>
read_configurations(const v1::DirectoryAnswer& answer,
                    const configuration_reader& read)
{
    if (const auto problem = problem_of(answer))
        return tl::unexpected(*problem);
    directory_page<configuration_record> page;
    page.next_offset = answer.next();
    page.partial = !answer.complete();
    for (const auto& evacuation : answer.evacuations())
        page.items.push_back(evacuation_change{evacuation.failure_domain(),
                                               !evacuation.ended()});
    for (const auto& text : answer.configurations()) {
        if (auto configuration = read(text))
            page.items.push_back(std::move(*configuration));
        else
            page.unreadable.emplace_back("configuration");
    }
    return page;
}

} // namespace cyclamenrun
