#ifndef CYCLAMENRUN_REJECTED_MESSAGES_HPP
#define CYCLAMENRUN_REJECTED_MESSAGES_HPP

#include "clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Why a message of another process is rejected. */
enum class message_problem : std::uint8_t {
    malformed,    ///< it does not parse
    out_of_range, ///< a number is beyond its limits
};

std::string_view name_of(message_problem problem);

struct message_error {
    message_problem problem = message_problem::malformed;
    std::string message; ///< kind of the message, e.g. MonitorRequest
    std::string field;   ///< field with the number; empty if malformed
};

/**
 * Counts the messages that this process rejects, and reports each kind at most
 * once a second. Thread-safe.
 */
class rejected_messages
{
public:
    /** `count`: messages of this kind and problem so far. */
    using reporter =
        std::function<void(const message_error&, std::uint64_t count)>;

    void set_reporter(reporter report);
    void record(const message_error& error, time_point now = steady_now());
    /** Numbers of rejected messages, by kind and problem. */
    std::map<std::pair<std::string, message_problem>, std::uint64_t>
    counts() const;

    /** Kinds that are counted by themselves; all further ones as "other". */
    static constexpr std::size_t max_kinds = 128;

private:
    struct counted_kind {
        std::uint64_t count = 0;
        time_point next_report{};
    };

    mutable std::mutex mutex_;
    reporter report_;
    std::map<std::pair<std::string, message_problem>, counted_kind> tallies_;
};

/** The rejected messages of this process. */
rejected_messages& process_rejected_messages();

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REJECTED_MESSAGES_HPP
