#ifndef CYCLAMENRUN_RECENT_RUNS_HPP
#define CYCLAMENRUN_RECENT_RUNS_HPP

#include "clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace cyclamenrun
{

/** Parts of prompts that have run well here lately, by fingerprint. */
class recent_runs
{
public:
    /** Records a run that began to write then. */
    void record(std::uint64_t part, time_point began_at, time_point now);
    /** When the part last began a run; empty: not lately. */
    std::optional<time_point> last(std::uint64_t part, time_point now) const;
    /** Whether the part is known to have run, lately or before. */
    bool contains(std::uint64_t part) const { return runs_.contains(part); }
    std::size_t size() const { return runs_.size(); }

private:
    void make_room(time_point now);

    std::unordered_map<std::uint64_t, time_point> runs_;
};

/** How long a run is known that shows its parts not to crash upstreams. */
inline constexpr milliseconds clearance_time{10'000};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_RECENT_RUNS_HPP
