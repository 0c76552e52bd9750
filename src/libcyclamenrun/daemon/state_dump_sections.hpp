#ifndef CYCLAMENRUN_STATE_DUMP_SECTIONS_HPP
#define CYCLAMENRUN_STATE_DUMP_SECTIONS_HPP

#include "clock.hpp"
#include "state_dump.hpp"

#include <string_view>

namespace cyclamenrun
{

class metrics;
struct process_settings;

/**
 * Adds section `process`: name, role, region, failure domain, version and
 * uptime.
 */
void add_process_section(state_dump& dump, const process_settings& settings,
                         std::string_view role, clock_function clock);

/** Adds section `rejected_messages`: their numbers, by kind and reason. */
void add_rejected_messages_section(state_dump& dump);

/** Adds section `metrics`: each metric that has samples, with its unit. */
void add_metrics_section(state_dump& dump, const metrics& recorded_metrics,
                         clock_function clock);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_STATE_DUMP_SECTIONS_HPP
