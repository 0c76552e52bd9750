#include "directory_news.hpp"

#include "load.pb.h"

#include <set>
#include <utility>

namespace cyclamenrun
{

namespace
{

bool is_known(const upstream_change& change, const upstream_board& board)
{
    const auto* known = board.find(change.id);
    if (!change.record)
        return known == nullptr;
    return known != nullptr && known->record == *change.record &&
           !known->removed && !known->doubted_until;
}

tl::expected<upstream_record, news_problem>
record_of(const std::string& id, const v1::DirectoryRecord& message)
{
    const auto address = parse_ip_endpoint(message.address());
    if (!address || address->port == 0 || message.service().empty())
        return tl::unexpected(news_problem::record);
    upstream_record record;
    record.id = id;
    record.service = message.service();
    record.address = *address;
    record.failure_domain = message.failure_domain();
    record.slots = message.slots();
    record.draining = message.draining();
    record.started_ms = message.started_ms();
    return record;
}

} // namespace

std::string_view name_of(news_problem problem)
{
    switch (problem) {
    case news_problem::offsets:
        return "offsets";
    case news_problem::record:
        return "record";
    }
    return "record";
}

directory_news news_of(std::uint64_t from,
                       const directory_page<upstream_change>& page,
                       const upstream_board& board)
{
    directory_news news;
    news.from = from;
    news.page.next_offset = page.next_offset;
    // What changes and changes back within the page is told as well.
    std::set<std::string> changed;
    for (std::size_t i = 0; i < page.items.size(); ++i) {
        const auto& item = page.items[i];
        if (is_known(item, board) && !changed.contains(item.id))
            continue;
        changed.insert(item.id);
        news.page.items.push_back(item);
        news.page.offsets.push_back(page.offsets.at(i));
    }
    return news;
}

v1::DirectoryNews message_of(const directory_news& news)
{
    v1::DirectoryNews message;
    message.set_from(news.from);
    message.set_next(news.page.next_offset);
    for (std::size_t i = 0; i < news.page.items.size(); ++i) {
        const auto& item = news.page.items[i];
        auto& change = *message.add_changes();
        change.set_offset(news.page.offsets.at(i));
        change.set_id(item.id);
        if (!item.record)
            continue;
        auto& record = *change.mutable_record();
        record.set_service(item.record->service);
        record.set_address(to_string(item.record->address));
        record.set_failure_domain(item.record->failure_domain);
        record.set_slots(item.record->slots);
        record.set_draining(item.record->draining);
        record.set_started_ms(item.record->started_ms);
    }
    return message;
}

tl::expected<directory_news, news_problem>
read_news(const v1::DirectoryNews& message)
{
    directory_news news;
    news.from = message.from();
    news.page.next_offset = message.next();
    auto least = message.from();
    for (const auto& change : message.changes()) {
        if (change.offset() < least || change.offset() >= message.next())
            return tl::unexpected(news_problem::offsets);
        least = change.offset() + 1;
        if (change.id().empty())
            return tl::unexpected(news_problem::record);
        upstream_change item{change.id(), std::nullopt};
        if (change.has_record()) {
            auto record = record_of(change.id(), change.record());
            if (!record)
                return tl::unexpected(record.error());
            item.record = std::move(*record);
        }
        news.page.items.push_back(std::move(item));
        news.page.offsets.push_back(change.offset());
    }
    return news;
}

} // namespace cyclamenrun
