#include "directory_feed.hpp"

namespace cyclamenrun
{

std::string_view name_of(directory_problem problem)
{
    switch (problem) {
    case directory_problem::unavailable:
        return "unavailable";
    case directory_problem::history_gone:
        return "history_gone";
    case directory_problem::leaving:
        return "leaving";
    }
    return "unavailable";
}

} // namespace cyclamenrun
