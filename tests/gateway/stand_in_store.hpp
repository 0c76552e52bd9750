#ifndef CYCLAMENRUN_TESTS_STAND_IN_STORE_HPP
#define CYCLAMENRUN_TESTS_STAND_IN_STORE_HPP

#include "fake_upstream.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * The platform's store as far as the gateway uses it: topics whose records
 * have keys, read from an offset with a wait, or the newest of each key. It
 * can turn calls away, leave them unanswered, or drop its history.
 */
class stand_in_store
{
public:
    enum class mood : std::uint8_t {
        sound,
        busy,   ///< answers 503
        silent, ///< takes calls and does not answer
        cutting ///< closes without an answer
    };

    stand_in_store();
    ~stand_in_store();
    stand_in_store(const stand_in_store&) = delete;
    stand_in_store& operator=(const stand_in_store&) = delete;

    std::string address() const { return to_string(server_.address()); }
    /** Appends a record; an empty value drops the key. */
    void put(const std::string& topic, const std::string& key,
             const std::string& value);
    void set_mood(mood next);
    /** Records on a page of the newest. */
    void set_page_size(std::size_t records);
    /** Calls of all kinds so far, those that were turned away included. */
    std::size_t calls() const { return server_.arrived().size(); }
    /** Those whose target begins so. */
    std::size_t count_of(const std::string& target) const;
    /** Readers behind the newest record are told that it is gone. */
    void drop_history();

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::vector<record> records;
        std::size_t first = 0;
    };

    void play(const arrived_request& request, upstream_reply& reply);
    void read(const std::map<std::string, std::string>& query,
              const arrived_request& request, upstream_reply& reply);
    void newest(const std::map<std::string, std::string>& query,
                const arrived_request& request, upstream_reply& reply);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic_log> topics_;
    mood mood_ = mood::sound;
    std::size_t page_size_ = 500;
    bool stopping_ = false;
    fake_upstream server_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_STAND_IN_STORE_HPP
