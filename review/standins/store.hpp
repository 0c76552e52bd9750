#ifndef REVIEW_STORE_HPP
#define REVIEW_STORE_HPP

// The platform's store as far as the programs call it: topics of keyed records
// that are read from an offset, or as the newest record of each key.

#include "net.hpp"

#include <condition_variable>
#include <set>

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

/** Times of the sheet: of each answer, and of what is read. */
constexpr int store_answer_ms = 4;
constexpr double store_read_mb_per_s = 80;

class store
{
public:
    explicit store(const endpoint& address) { open(address); }
    /**
     * Listens on one more address, so that machines can be told apart. Returns
     * its number; that of the first address is 0.
     */
    int open(const endpoint& address)
    {
        const std::scoped_lock lock(mutex_);
        const int number = static_cast<int>(servers_.size());
        servers_.push_back(std::make_unique<server>(
            address, [this, number](const message& request, connection& to) {
                return serve(request, to, number);
            }));
        return number;
    }
    ~store()
    {
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
        }
        changed_.notify_all();
        servers_.clear();
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
    /**
     * Answers each call at these addresses with a 503, which means that nothing
     * was done.
     */
    void turn_away(std::set<int> numbers)
    {
        {
            const std::scoped_lock lock(mutex_);
            turned_away_ = std::move(numbers);
        }
        changed_.notify_all();
    }
    /** The addresses that were called in this time. */
    std::set<int> called_within(ms time)
    {
        const std::scoped_lock lock(mutex_);
        std::set<int> numbers;
        for (const auto& [number, at] : called_)
            if (at >= clock_type::now() - time)
                numbers.insert(number);
        return numbers;
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
    bool is_turned_away(int address)
    {
        const std::scoped_lock lock(mutex_);
        called_[address] = clock_type::now();
        return turned_away_.contains(address);
    }
    bool serve(const message& request, connection& to, int address)
    {
        if (is_turned_away(address))
            return to.send(response_text(503, "", ""));
        if (request.path() != "/log-read" && request.path() != "/log-newest")
            return to.send(response_text(404, "", ""));
        const auto text = request.path() == "/log-read"
                              ? read(request, address)
                              : newest(request);
        sleep_ms(store_answer_ms + static_cast<int>(
                                       static_cast<double>(text.size()) /
                                       (store_read_mb_per_s * 1000)));
        return to.send(text);
    }
    std::string read(const message& request, int address)
    {
        constexpr int usual_max_kb = 1024;
        const auto asked = request.query("max_kb");
        const auto most = std::size_t(1024) *
                          (asked.empty() ? usual_max_kb
                                         : std::atoi(asked.c_str()));
        const auto from = std::strtoull(request.query("from").c_str(), nullptr,
                                        10);
        const auto wait = std::atoi(request.query("wait_ms").c_str());
        std::unique_lock lock(mutex_);
        auto& records = topics_[request.query("topic")];
        changed_.wait_for(lock, ms(wait), [&] {
            return stopping_ || turned_away_.contains(address) ||
                   records.size() > from;
        });
        if (turned_away_.contains(address))
            return response_text(503, "", "");
        std::string body = number(records.size(), 8) + number(0, 8);
        for (std::size_t i = from; i < records.size(); ++i) {
            const auto& each = records[i];
            if (i > from &&
                body.size() + each.key.size() + each.value.size() > most)
                break;
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
    std::set<int> turned_away_;
    std::map<int, time_point> called_;
    std::vector<std::unique_ptr<server>> servers_;
};

} // namespace review

#endif
