#include "stored_log.hpp"

#include <algorithm>

namespace cyclamenrun::stand_in
{

std::uint64_t stored_log::append(std::string data)
{
    const std::lock_guard guard(lock_);
    records_.push_back(std::move(data));
    const auto offset = first_ + records_.size() - 1;
    if (records_.size() > retain_) {
        records_.pop_front();
        ++first_;
    }
    changed_.notify_all();
    return offset;
}

stored_page stored_log::read(std::uint64_t from, std::uint64_t max,
                             std::chrono::milliseconds wait)
{
    std::unique_lock guard(lock_);
    changed_.wait_for(guard, wait, [&] {
        return stopping_ || from < first_ + records_.size();
    });
    stored_page page{first_, first_ + records_.size(), {}};
    for (auto at = std::max(from, first_);
         at < page.next && page.records.size() < max; ++at)
        page.records.push_back({at, records_[at - first_]});
    return page;
}

void stored_log::retain(std::uint64_t count)
{
    const std::lock_guard guard(lock_);
    while (records_.size() > count) {
        records_.pop_front();
        ++first_;
    }
}

void stored_log::stop()
{
    const std::lock_guard guard(lock_);
    stopping_ = true;
    changed_.notify_all();
}

} // namespace cyclamenrun::stand_in
