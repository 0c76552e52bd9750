#include "http_problem.hpp"

namespace cyclamenrun
{

std::string_view name_of(http_problem problem)
{
    switch (problem) {
    case http_problem::malformed:
        return "malformed";
    case http_problem::header_too_long:
        return "header_too_long";
    case http_problem::body_too_long:
        return "body_too_long";
    case http_problem::truncated:
        return "truncated";
    case http_problem::framing_too_long:
        return "framing_too_long";
    case http_problem::no_room:
        return "no_room";
    }
    return "malformed";
}

bool is_oversized(http_problem problem)
{
    return problem != http_problem::malformed &&
           problem != http_problem::truncated;
}

} // namespace cyclamenrun
