#ifndef CYCLAMENRUN_CONFIGURATION_REVISIONS_HPP
#define CYCLAMENRUN_CONFIGURATION_REVISIONS_HPP

#include "clock.hpp"
#include "operator.pb.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Kind of a process that reports its revision. */
enum class process_role : std::uint8_t { entry, agent };

std::string_view name_of(process_role role);

/** Identifies a process that holds a configuration. */
struct process_identity {
    std::string process;
    process_role role = process_role::entry;
    std::string failure_domain;
};

/**
 * The revision in force at each process that reported one recently. Operators
 * use it to wait until a change is in force everywhere.
 */
class configuration_revisions
{
public:
    /**
     * Records a revision that a process reported. An older revision never
     * replaces a newer one.
     */
    void record(const process_identity& identity, std::uint64_t revision,
                time_point now);

    /** Removes a process that will not report again. */
    void remove(const std::string& process);

    std::vector<v1::ProcessRevision> list(time_point now) const;

    /** A process without a report for this long is not listed. */
    static constexpr milliseconds max_report_age{600'000};
    static constexpr std::size_t max_processes = 4096;

private:
    struct row {
        process_identity identity;
        std::uint64_t revision = 0;
        time_point reported_at{};
    };

    /** Removes expired rows, or the oldest one if none has expired. */
    void make_room(time_point now);

    mutable std::mutex mutex_;
    std::map<std::string, row> rows_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_REVISIONS_HPP
