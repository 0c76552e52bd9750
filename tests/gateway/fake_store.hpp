#ifndef CYCLAMENRUN_TESTS_FAKE_STORE_HPP
#define CYCLAMENRUN_TESTS_FAKE_STORE_HPP

#include "fake_upstream.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/**
 * Replaces the platform's store in tests. Its topics hold records with keys,
 * which are read from an offset with a wait, or as the newest record of each
 * key. It can refuse calls, leave them unanswered or delete its history.
 */
class fake_store
{
public:
    enum class fault_mode : std::uint8_t {
        healthy,
        busy,         ///< answers 503
        unresponsive, ///< accepts calls and does not answer
        disconnecting ///< closes the connection without an answer
    };

    fake_store();
    ~fake_store();
    fake_store(const fake_store&) = delete;
    fake_store& operator=(const fake_store&) = delete;

    std::string address() const { return to_string(server_.address()); }
    /**
     * Appends a record; an empty value removes the key. Throws
     * std::length_error if it is larger than the platform's store allows.
     */
    void put(const std::string& topic, const std::string& key,
             const std::string& value);
    void set_fault_mode(fault_mode next);
    /** Sets the number of records on a page of the newest records. */
    void set_page_size(std::size_t records);
    /** If false, appends are kept and answered without an offset. */
    std::atomic<bool> acknowledges = true;
    /** The newest records of a topic that have a value. */
    std::map<std::string, std::string> newest(const std::string& topic);
    /** Number of calls so far, refused ones included. */
    std::size_t calls() const { return server_.arrived().size(); }
    /** Number of calls whose target starts with `target`. */
    std::size_t count_of(const std::string& target) const;
    /**
     * Serves the newest records as of an earlier offset, as a replica that lags
     * does; empty: the current ones.
     */
    void set_newest_as_of(std::optional<std::size_t> offset);
    /** Deletes the history; reads that start before its end get a 410. */
    void drop_history();

private:
    struct record {
        std::string key;
        std::string value;
    };
    struct topic_log {
        std::vector<record> records;
        std::size_t first = 0; ///< offset of the oldest retained record
    };

    void handle_request(const arrived_request& request, upstream_reply& reply);
    void serve_read(const std::map<std::string, std::string>& query,
                    const arrived_request& request, upstream_reply& reply);
    void serve_append(const std::map<std::string, std::string>& query,
                      const arrived_request& request, upstream_reply& reply);
    void serve_newest(const std::map<std::string, std::string>& query,
                      const arrived_request& request, upstream_reply& reply);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, topic_log> topics_;
    fault_mode fault_mode_ = fault_mode::healthy;
    std::size_t page_size_ = 500;
    std::optional<std::size_t> newest_as_of_;
    bool stopping_ = false;
    fake_upstream server_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_FAKE_STORE_HPP
