#include "admission_settings.hpp"

namespace cyclamenrun
{

admission_settings default_admission(objective goal)
{
    admission_settings settings;
    settings.goal = goal;
    return settings;
}

} // namespace cyclamenrun
