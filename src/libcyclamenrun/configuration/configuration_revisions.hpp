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

/** Which kind of process holds a revision. */
enum class process_role : std::uint8_t { entry, agent };

std::string_view name_of(process_role role);

/** A process as far as its configuration is concerned. */
struct process_identity {
    std::string process;
    process_role role = process_role::entry;
    std::string failure_domain;
};

/**
 * The revision in force at each process that was heard of lately, so that an
 * operator can wait until a change is in force everywhere.
 */
class configuration_revisions
{
public:
    /** A process told its revision; an older one never replaces a newer. */
    void note(const process_identity& who, std::uint64_t revision,
              time_point now);

    /** A process is gone for good. */
    void forget(const std::string& process);

    std::vector<v1::ProcessRevision> list(time_point now) const;

    /** When silent for so long, a process is no longer listed. */
    static constexpr milliseconds kept_for{600'000};
    static constexpr std::size_t max_processes = 4096;

private:
    struct row {
        process_identity who;
        std::uint64_t revision = 0;
        time_point heard_at{};
    };

    void make_room(time_point now);

    mutable std::mutex mutex_;
    std::map<std::string, row> rows_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_REVISIONS_HPP
