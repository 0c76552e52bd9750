#ifndef CYCLAMENRUN_TESTS_STORED_LOG_HPP
#define CYCLAMENRUN_TESTS_STORED_LOG_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun::stand_in
{

struct stored_record {
    std::uint64_t offset = 0;
    std::string data;
};

/** Result of a read of a log. */
struct stored_page {
    std::uint64_t first_retained = 0; ///< offset of the oldest record
    std::uint64_t next = 0;           ///< offset of the next append
    std::vector<stored_record> records;
};

/** An append-only log that retains only its newest records. */
class stored_log
{
public:
    explicit stored_log(std::uint64_t retain) : retain_(retain) {}

    std::uint64_t append(std::string data);
    /** Returns the records from `from` on; waits up to `wait` for the first. */
    stored_page read(std::uint64_t from, std::uint64_t max,
                     std::chrono::milliseconds wait);
    /** Drops all but the newest `count` records, as retention does. */
    void retain(std::uint64_t count);
    /** Ends all waits in read(). */
    void stop();

private:
    const std::uint64_t retain_; ///< maximum number of records
    std::mutex lock_;
    std::condition_variable changed_;
    std::deque<std::string> records_;
    std::uint64_t first_ = 0; ///< offset of the first of records_
    bool stopping_ = false;
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_STORED_LOG_HPP
