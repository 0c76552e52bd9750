#ifndef CYCLAMENRUN_TESTS_HISTORY_HPP
#define CYCLAMENRUN_TESTS_HISTORY_HPP

#include "http_json.hpp"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenrun::stand_in
{

/** Events of a stand-in, recorded as JSON lines for tests to check. */
class history
{
public:
    /** Adds an event and its time since the start, as `ms`. */
    void add(Poco::JSON::Object event)
    {
        const std::lock_guard guard(lock_);
        const auto age = std::chrono::steady_clock::now() - start_;
        event.set(
            "ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
        lines_.push_back(to_string(event));
    }

    std::string text() const
    {
        const std::lock_guard guard(lock_);
        std::string text;
        for (const auto& line : lines_)
            text += line + "\n";
        return text;
    }

private:
    mutable std::mutex lock_;
    std::chrono::steady_clock::time_point start_ =
        std::chrono::steady_clock::now();
    std::vector<std::string> lines_;
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_HISTORY_HPP
