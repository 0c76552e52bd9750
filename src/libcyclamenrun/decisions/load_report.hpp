#ifndef CYCLAMENRUN_LOAD_REPORT_HPP
#define CYCLAMENRUN_LOAD_REPORT_HPP

#include "clock.hpp"

#include <cstdint>
#include <string>

namespace cyclamenrun
{

/** Load reported by an agent; mirrors link.proto. */
struct load_report {
    std::string upstream;
    std::uint64_t incarnation = 0;
    milliseconds uptime{0}; ///< of the agent, when it made the report
    bool leaving = false;   ///< the agent accepts no new work
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t memory_tokens_used = 0;
    std::uint64_t memory_tokens_total = 0;
    milliseconds expected_wait{0};
    std::uint64_t queued_tokens = 0; ///< prompt tokens of the queued work
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LOAD_REPORT_HPP
