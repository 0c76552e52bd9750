#include "copy_turns.hpp"

#include <algorithm>

namespace cyclamenrun
{

bool copy_turns::ask(const turn& wanted, time_point now)
{
    drop_silent(now);
    const auto found =
        std::find_if(places_.begin(), places_.end(), [&](const place& each) {
            return each.who.id == wanted.id;
        });
    if (found != places_.end()) {
        found->asked_at = now;
    } else if (places_.size() < most_copy_turns) {
        insert(wanted, now);
    }
    return !places_.empty() && places_.front().who.id == wanted.id;
}

void copy_turns::insert(const turn& wanted, time_point now)
{
    if (places_.empty()) {
        turn_ends_ = now + longest_copy_turn;
        places_.push_back({wanted, now});
        return;
    }
    // The holder keeps the turn; equal sizes stay in the order of requests.
    const auto before = std::find_if(
        places_.begin() + 1, places_.end(),
        [&](const place& each) { return each.who.tokens > wanted.tokens; });
    places_.insert(before, {wanted, now});
}

void copy_turns::end(const std::string& id)
{
    const bool had_turn = !places_.empty() && places_.front().who.id == id;
    std::erase_if(places_,
                  [&](const place& each) { return each.who.id == id; });
    if (had_turn)
        turn_ends_ = time_point::max();
}

std::optional<copy_turns::turn> copy_turns::holder(time_point now)
{
    drop_silent(now);
    if (places_.empty())
        return std::nullopt;
    return places_.front().who;
}

void copy_turns::drop_silent(time_point now)
{
    const bool new_turn = turn_ends_ == time_point::max();
    // The holder need not repeat its request; it has the turn until its end.
    while (!places_.empty() && turn_ends_ <= now) {
        places_.pop_front();
        turn_ends_ = now + longest_copy_turn;
    }
    if (new_turn)
        turn_ends_ = now + longest_copy_turn;
    const auto held = new_turn || places_.empty() ? 0 : 1;
    places_.erase(std::remove_if(places_.begin() + held, places_.end(),
                                 [&](const place& each) {
                                     return each.asked_at + copy_turn_silence <=
                                            now;
                                 }),
                  places_.end());
}

} // namespace cyclamenrun
