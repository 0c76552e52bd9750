#include "copy_turns.hpp"

#include <algorithm>

namespace cyclamenrun
{

bool copy_turns::ask(const turn& requested, time_point now)
{
    drop_expired(now);
    const auto found =
        std::find_if(places_.begin(), places_.end(), [&](const place& each) {
            return each.requested.id == requested.id;
        });
    if (found != places_.end()) {
        found->requested_at = now;
    } else if (places_.size() < max_copy_turns) {
        insert(requested, now);
    }
    return !places_.empty() && places_.front().requested.id == requested.id;
}

void copy_turns::insert(const turn& requested, time_point now)
{
    if (places_.empty()) {
        turn_ends_ = now + copy_turn_duration_limit;
        places_.push_back({requested, now});
        return;
    }
    // The holder keeps the turn; equal sizes stay in the order of requests.
    const auto before = std::find_if(
        places_.begin() + 1, places_.end(), [&](const place& each) {
            return each.requested.tokens > requested.tokens;
        });
    places_.insert(before, {requested, now});
}

void copy_turns::end(const std::string& id)
{
    const bool had_turn =
        !places_.empty() && places_.front().requested.id == id;
    std::erase_if(places_,
                  [&](const place& each) { return each.requested.id == id; });
    if (had_turn)
        turn_ends_ = time_point::max();
}

std::optional<copy_turns::turn> copy_turns::holder(time_point now)
{
    drop_expired(now);
    if (places_.empty())
        return std::nullopt;
    return places_.front().requested;
}

void copy_turns::drop_expired(time_point now)
{
    const bool new_turn = turn_ends_ == time_point::max();
    // The holder need not repeat its request; it has the turn until its end.
    while (!places_.empty() && turn_ends_ <= now) {
        places_.pop_front();
        turn_ends_ = now + copy_turn_duration_limit;
    }
    if (new_turn)
        turn_ends_ = now + copy_turn_duration_limit;
    const auto kept = new_turn || places_.empty() ? 0 : 1;
    places_.erase(std::remove_if(places_.begin() + kept, places_.end(),
                                 [&](const place& each) {
                                     return each.requested_at +
                                                copy_turn_request_timeout <=
                                            now;
                                 }),
                  places_.end());
}

} // namespace cyclamenrun
