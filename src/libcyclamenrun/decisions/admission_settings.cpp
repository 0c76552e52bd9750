#include "admission_settings.hpp"

namespace cyclamenrun
{

admission_settings default_admission(objective goal)
{
    admission_settings settings;
    settings.goal = goal;
    const bool stall = goal == objective::stall_time;
    settings.overflow_bound = stall ? 0.22 : 0.1;
    settings.short_first = stall ? 32.0 : 16.0;
    return settings;
}

} // namespace cyclamenrun
