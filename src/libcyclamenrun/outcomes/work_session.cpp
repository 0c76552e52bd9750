#include "work_session.hpp"

namespace cyclamenrun
{

std::string_view name_of(work_state state)
{
    switch (state) {
    case work_state::waiting:
        return "waiting";
    case work_state::running:
        return "running";
    case work_state::ended:
        return "ended";
    }
    return "ended";
}

} // namespace cyclamenrun
