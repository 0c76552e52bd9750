#include "admission_settings.hpp"

namespace cyclamenrun
{

admission_settings default_admission(objective goal)
{
    admission_settings settings;
    settings.goal = goal;
    settings.overflow_bound = goal == objective::stall_time ? 0.2 : 0.1;
    return settings;
}

} // namespace cyclamenrun
