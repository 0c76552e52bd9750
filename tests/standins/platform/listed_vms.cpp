#include "listed_vms.hpp"

#include <algorithm>

namespace cyclamenrun::stand_in
{

listed_vms::listed_vms(std::chrono::milliseconds lag) : lag_(lag)
{
    versions_.push_back({clock::now(), {1, {}}});
}

void listed_vms::put(vm added)
{
    const std::lock_guard guard(lock_);
    auto next = versions_.back().list;
    std::erase_if(next.vms,
                  [&added](const vm& old) { return old.id == added.id; });
    next.vms.push_back(std::move(added));
    publish(std::move(next));
}

void listed_vms::remove(const std::string& id)
{
    const std::lock_guard guard(lock_);
    auto next = versions_.back().list;
    std::erase_if(next.vms, [&id](const vm& old) { return old.id == id; });
    publish(std::move(next));
}

vm_list listed_vms::read(std::uint64_t after, std::chrono::milliseconds wait)
{
    std::unique_lock guard(lock_);
    const auto deadline = clock::now() + wait;
    for (;;) {
        drop_old();
        const auto now = clock::now();
        if (versions_.front().list.revision > after || now >= deadline ||
            stopping_)
            return versions_.front().list;
        // The next version becomes visible at its time, without a
        // notification.
        auto until = deadline;
        if (versions_.size() > 1)
            until = std::min(until, versions_[1].visible);
        changed_.wait_until(guard, until);
    }
}

void listed_vms::stop()
{
    const std::lock_guard guard(lock_);
    stopping_ = true;
    changed_.notify_all();
}

void listed_vms::publish(vm_list next)
{
    ++next.revision;
    versions_.push_back({clock::now() + lag_, std::move(next)});
    drop_old();
    changed_.notify_all();
}

void listed_vms::drop_old()
{
    while (versions_.size() > 1 && versions_[1].visible <= clock::now())
        versions_.pop_front();
}

} // namespace cyclamenrun::stand_in
