#include "copy_turns.hpp"

#include <algorithm>

namespace cyclamenrun
{

bool copy_turns::request_turn(const turn& requested, time_point now)
{
    drop_expired(now);
    const auto found = std::find_if(
        queue_.begin(), queue_.end(), [&](const queued_request& each) {
            return each.requested.id == requested.id;
        });
    if (found != queue_.end()) {
        found->requested_at = now;
    } else if (queue_.size() < max_copy_turns) {
        insert(requested, now);
    }
    return !queue_.empty() && queue_.front().requested.id == requested.id;
}

void copy_turns::insert(const turn& requested, time_point now)
{
    if (queue_.empty()) {
        turn_ends_ = now + copy_turn_duration_limit;
        queue_.push_back({requested, now});
        return;
    }
    // The holder keeps the turn; equal sizes stay in the order of requests.
    const auto before = std::find_if(
        queue_.begin() + 1, queue_.end(), [&](const queued_request& each) {
            return each.requested.tokens > requested.tokens;
        });
    queue_.insert(before, {requested, now});
}

void copy_turns::end(const std::string& id)
{
    const bool had_turn = !queue_.empty() && queue_.front().requested.id == id;
    std::erase_if(queue_, [&](const queued_request& each) {
        return each.requested.id == id;
    });
    if (had_turn)
        turn_ends_ = time_point::max();
}

std::optional<copy_turns::turn> copy_turns::holder(time_point now)
{
    drop_expired(now);
    if (queue_.empty())
        return std::nullopt;
    return queue_.front().requested;
}

void copy_turns::drop_expired(time_point now)
{
    const bool new_turn = turn_ends_ == time_point::max();
    // The holder need not repeat its request; it has the turn until its end.
    while (!queue_.empty() && turn_ends_ <= now) {
        queue_.pop_front();
        turn_ends_ = now + copy_turn_duration_limit;
    }
    if (new_turn)
        turn_ends_ = now + copy_turn_duration_limit;
    const auto kept = new_turn || queue_.empty() ? 0 : 1;
    queue_.erase(std::remove_if(queue_.begin() + kept, queue_.end(),
                                [&](const queued_request& each) {
                                    return each.requested_at +
                                               copy_turn_request_timeout <=
                                           now;
                                }),
                 queue_.end());
}

} // namespace cyclamenrun
