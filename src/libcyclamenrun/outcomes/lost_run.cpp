#include "lost_run.hpp"

#include <algorithm>
#include <array>

namespace cyclamenrun
{

namespace
{

/** In the order of the enum. */
constexpr std::array<std::string_view, 3> stage_names{"waiting", "beginning",
                                                      "settled"};

} // namespace

std::string_view name_of(run_stage stage)
{
    return stage_names.at(static_cast<std::size_t>(stage));
}

time_point last_loss_of(const std::vector<lost_run>& losses)
{
    time_point last{};
    for (const auto& run : losses)
        last = std::max(last, run.lost_at);
    return last;
}

} // namespace cyclamenrun
