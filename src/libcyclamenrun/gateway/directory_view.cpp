#include "directory_view.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_waits = 4096;

} // namespace

void directory_view::confirm(boot_time as_of)
{
    is_lost_ = false;
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
    std::vector<wait_id> confirmed;
    for (const auto& [id, wait] : waits_) {
        if (wait.asked_at <= *as_of_)
            confirmed.push_back(id);
    }
    for (const auto id : confirmed)
        end(id, true);
}

void directory_view::mark_lost()
{
    is_lost_ = true;
    while (!waits_.empty())
        end(waits_.begin()->first, false);
}

directory_view::wait_id directory_view::wait_for(boot_time asked_at,
                                                 handler on_known)
{
    const auto id = ++last_wait_;
    const bool is_confirmed = as_of_ && asked_at <= *as_of_;
    if (is_confirmed || is_lost_ || waits_.size() >= max_waits) {
        on_known(is_confirmed);
        return id;
    }
    waits_.emplace(id, pending_wait{asked_at, std::move(on_known)});
    if (on_asked_)
        on_asked_();
    return id;
}

void directory_view::give_up(wait_id wait)
{
    end(wait, false);
}

void directory_view::end(wait_id wait, bool is_confirmed)
{
    const auto found = waits_.extract(wait);
    if (!found.empty())
        found.mapped().on_known(is_confirmed);
}

} // namespace cyclamenrun
