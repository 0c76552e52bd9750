#include "fake_store.hpp"

#include "json_text.hpp"

#include <Poco/Base64Encoder.h>
#include <Poco/URI.h>
#include <algorithm>
#include <chrono>
#include <sstream>
#include <stdexcept>

namespace cyclamenrun::testing_support
{

namespace
{

/** The platform's limits: of a record, and of the records of one answer. */
constexpr std::size_t max_record_bytes = std::size_t(256) << 10;
constexpr std::size_t max_answer_bytes = std::size_t(1) << 20;

std::string big_endian(std::uint64_t value, unsigned bytes)
{
    std::string text;
    for (unsigned left = bytes; left > 0; --left)
        text += static_cast<char>(value >> (8U * (left - 1)));
    return text;
}

std::string base64(const std::string& bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string frame_record(const std::string& key, const std::string& value)
{
    const auto content = big_endian(key.size(), 1) + key + value;
    return big_endian(content.size(), 4) + content;
}

} // namespace

fake_store::fake_store()
    : server_([this](const arrived_request& request, upstream_reply& reply) {
          handle_request(request, reply);
      })
{
}

fake_store::~fake_store()
{
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

void fake_store::put(const std::string& topic, const std::string& key,
                     const std::string& value)
{
    if (key.size() + value.size() >= max_record_bytes)
        throw std::length_error("the record is larger than the store allows");
    const std::scoped_lock lock(mutex_);
    topics_[topic].records.push_back({key, value});
    changed_.notify_all();
}

void fake_store::set_fault_mode(fault_mode next)
{
    const std::scoped_lock lock(mutex_);
    fault_mode_ = next;
    changed_.notify_all();
}

void fake_store::drop_history()
{
    const std::scoped_lock lock(mutex_);
    for (auto& [name, topic] : topics_)
        topic.first = topic.records.size();
}

void fake_store::handle_request(const arrived_request& request,
                                upstream_reply& reply)
{
    const Poco::URI uri(request.head.target);
    std::map<std::string, std::string> query;
    for (const auto& [name, value] : uri.getQueryParameters())
        query[name] = value;
    fault_mode current_fault_mode = fault_mode::healthy;
    {
        const std::scoped_lock lock(mutex_);
        current_fault_mode = fault_mode_;
    }
    if (current_fault_mode == fault_mode::busy)
        reply.answer(request, 503, "{}");
    else if (current_fault_mode == fault_mode::unresponsive)
        reply.wait_for_close();
    else if (current_fault_mode == fault_mode::disconnecting)
        reply.close();
    else if (uri.getPath() == "/log-append")
        serve_append(query, request, reply);
    else if (uri.getPath() == "/log-newest")
        serve_newest(query, request, reply);
    else
        serve_read(query, request, reply);
}

void fake_store::serve_read(const std::map<std::string, std::string>& query,
                            const arrived_request& request,
                            upstream_reply& reply)
{
    const auto from = std::stoul(query.at("from"));
    const std::chrono::milliseconds wait(std::stol(query.at("wait_ms")));
    std::unique_lock lock(mutex_);
    auto& topic = topics_[query.at("topic")];
    changed_.wait_for(lock, wait, [&] {
        return topic.records.size() > from || stopping_ ||
               fault_mode_ != fault_mode::healthy;
    });
    if (from < topic.first) {
        lock.unlock();
        reply.answer(request, 410, "{}");
        return;
    }
    std::string body =
        big_endian(topic.records.size(), 8) + big_endian(topic.first, 8);
    for (auto at = from;
         at < topic.records.size() && body.size() < max_answer_bytes; ++at)
        body += frame_record(topic.records[at].key, topic.records[at].value);
    lock.unlock();
    reply.answer(request, 200, body);
}

void fake_store::serve_append(const std::map<std::string, std::string>& query,
                              const arrived_request& request,
                              upstream_reply& reply)
{
    std::unique_lock lock(mutex_);
    auto& records = topics_[query.at("topic")].records;
    const auto first = records.size();
    std::string_view bytes = request.body;
    const auto take = [&](std::size_t count) {
        const auto taken = bytes.substr(0, count);
        bytes.remove_prefix(taken.size());
        return std::string(taken);
    };
    const auto number = [](const std::string& text) {
        std::size_t value = 0;
        for (const char byte : text)
            value = value << 8U | static_cast<unsigned char>(byte);
        return value;
    };
    while (!bytes.empty()) {
        const auto size = number(take(4));
        const auto key = take(number(take(1)));
        records.push_back({key, take(size - 1 - key.size())});
    }
    const auto end = records.size();
    lock.unlock();
    changed_.notify_all();
    reply.answer(request, 200,
                 acknowledges
                     ? "{\"offset\":" + std::to_string(first) +
                           ",\"end_offset\":" + std::to_string(end) + "}"
                     : "");
}

std::map<std::string, std::string> fake_store::newest(const std::string& topic)
{
    const std::scoped_lock lock(mutex_);
    std::map<std::string, std::string> values;
    for (const auto& each : topics_[topic].records)
        values[each.key] = each.value;
    std::erase_if(values, [](const auto& each) { return each.second.empty(); });
    return values;
}

std::size_t fake_store::count_of(const std::string& target) const
{
    const auto calls = server_.arrived();
    return std::count_if(calls.begin(), calls.end(),
                         [&](const arrived_request& call) {
                             return call.head.target.starts_with(target);
                         });
}

void fake_store::set_newest_as_of(std::optional<std::size_t> offset)
{
    const std::scoped_lock lock(mutex_);
    newest_as_of_ = offset;
}

void fake_store::set_page_size(std::size_t records)
{
    const std::scoped_lock lock(mutex_);
    page_size_ = records;
}

void fake_store::serve_newest(const std::map<std::string, std::string>& query,
                              const arrived_request& request,
                              upstream_reply& reply)
{
    std::unique_lock lock(mutex_);
    const auto& topic = topics_[query.at("topic")];
    const auto after = query.find("after");
    std::map<std::string, std::string> values;
    const auto end = std::min(newest_as_of_.value_or(topic.records.size()),
                              topic.records.size());
    for (std::size_t at = 0; at < end; ++at)
        values[topic.records[at].key] = topic.records[at].value;
    std::string items;
    std::size_t count = 0;
    bool truncated = false;
    for (const auto& [key, value] : values) {
        if (value.empty() || (after != query.end() && key <= after->second))
            continue;
        truncated = count++ == page_size_ || items.size() >= max_answer_bytes;
        if (truncated)
            break;
        items += std::string(items.empty() ? "" : ",") +
                 "{\"key\":" + json_quoted(key) + R"(,"value":")" +
                 base64(value) + R"("})";
    }
    lock.unlock();
    reply.answer(request, 200,
                 "{\"items\":[" + items +
                     "],\"truncated\":" + (truncated ? "true" : "false") + "," +
                     "\"end_offset\":" + std::to_string(end) + "}");
}

} // namespace cyclamenrun::testing_support
