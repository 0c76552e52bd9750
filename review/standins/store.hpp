#ifndef REVIEW_STORE_HPP
#define REVIEW_STORE_HPP

// The platform's store as far as the programs call it: topics of keyed records
// that are read from an offset, or as the newest record of each key.

#include "net.hpp"

#include <condition_variable>

namespace review
{

inline std::string base64(const std::string& bytes)
{
    static const char* const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t value = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 |
                    (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? letters[value >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

class store
{
public:
    explicit store(const endpoint& address)
        : server_(std::make_unique<server>(
              address, [this](const message& request, connection& to) {
                  return serve(request, to);
              }))
    {
    }
    ~store()
    {
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_all();
        server_.reset();
    }
    /** Appends a record; an empty value drops the key. */
    void put(const std::string& topic, const std::string& key,
             const std::string& value)
    {
        {
            const std::scoped_lock lock(mutex_);
            topics_[topic].push_back({key, value});
        }
        changed_.notify_all();
    }

private:
    struct record {
        std::string key;
        std::string value;
    };

    static std::string number(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int i = bytes - 1; i >= 0; --i)
            text += static_cast<char>(value >> (8 * i) & 255);
        return text;
    }
    bool serve(const message& request, connection& to)
    {
        if (request.path() == "/log-read")
            return to.send(read(request));
        if (request.path() == "/log-newest")
            return to.send(newest(request));
        return to.send(response_text(404, "", ""));
    }
    std::string read(const message& request)
    {
        constexpr std::size_t call_bytes = std::size_t(1) << 20;
        const auto from = std::strtoull(request.query("from").c_str(), nullptr,
                                        10);
        const auto wait = std::atoi(request.query("wait_ms").c_str());
        std::unique_lock lock(mutex_);
        auto& records = topics_[request.query("topic")];
        changed_.wait_for(lock, ms(wait), [&] {
            return stopping_ || records.size() > from;
        });
        std::string body = number(records.size(), 8) + number(0, 8);
        for (std::size_t i = from;
             i < records.size() && body.size() < call_bytes; ++i) {
            const auto& each = records[i];
            body += number(1 + each.key.size() + each.value.size(), 4) +
                    static_cast<char>(each.key.size()) + each.key + each.value;
        }
        return response_text(200, "Content-Type: application/octet-stream\r\n",
                             body);
    }
    std::string newest(const message& request)
    {
        const std::scoped_lock lock(mutex_);
        const auto& records = topics_[request.query("topic")];
        std::map<std::string, std::size_t> offsets;
        for (std::size_t i = 0; i < records.size(); ++i) {
            if (records[i].value.empty())
                offsets.erase(records[i].key);
            else
                offsets[records[i].key] = i;
        }
        std::string items;
        for (const auto& [key, offset] : offsets)
            items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" +
                     key + "\",\"value\":\"" + base64(records[offset].value) +
                     "\",\"offset\":" + std::to_string(offset) + "}";
        return response_text(200, "Content-Type: application/json\r\n",
                             "{\"items\":[" + items +
                                 "],\"truncated\":false,\"end_offset\":" +
                                 std::to_string(records.size()) + "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<record>> topics_;
    bool stopping_ = false;
    std::unique_ptr<server> server_;
};

} // namespace review

#endif
