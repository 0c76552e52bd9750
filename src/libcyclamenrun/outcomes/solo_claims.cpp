#include "solo_claims.hpp"

#include <algorithm>
#include <vector>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_claims = 1024;
/**
 * The start of another process's claim is known with this error, by the time
 * that its message was on the way.
 */
constexpr milliseconds start_error{50};

bool is_live(const solo_claim& claim, time_point now)
{
    return !claim.released && now < claim.expires_at;
}

bool share_a_suspect(const suspected_work& left, const suspected_work& right)
{
    if (left.request == right.request)
        return true;
    return std::any_of(left.parts.begin(), left.parts.end(), [&](auto part) {
        return std::binary_search(right.parts.begin(), right.parts.end(), part);
    });
}

bool precedes(const solo_claim& left, const solo_claim& right)
{
    const auto earlier = right.began_at - left.began_at;
    if (earlier > start_error || earlier < -start_error)
        return earlier > duration::zero();
    return left.id < right.id;
}

} // namespace

bool solo_claims::add(const solo_claim& claim, time_point now)
{
    const auto known = claims_.find(claim.id);
    if (known != claims_.end()) {
        if (known->second.released || !claim.released)
            return false;
        known->second.released = true;
        known->second.changed = claim.changed;
        return true;
    }
    if (now >= claim.expires_at)
        return false;
    make_room(now);
    claims_.emplace(claim.id, claim);
    return true;
}

bool solo_claims::release(std::uint64_t id, std::uint64_t version)
{
    const auto known = claims_.find(id);
    if (known == claims_.end() || known->second.released)
        return false;
    known->second.released = true;
    known->second.changed = version;
    return true;
}

bool solo_claims::is_beaten(std::uint64_t id, time_point now) const
{
    const auto own = claims_.find(id);
    if (own == claims_.end() || !is_live(own->second, now))
        return true;
    return std::any_of(claims_.begin(), claims_.end(), [&](const auto& each) {
        const auto& other = each.second;
        return other.id != id && is_live(other, now) &&
               share_a_suspect(other.suspects, own->second.suspects) &&
               precedes(other, own->second);
    });
}

bool solo_claims::is_claimed(const suspected_work& suspects,
                             time_point now) const
{
    return std::any_of(claims_.begin(), claims_.end(), [&](const auto& each) {
        return is_live(each.second, now) &&
               share_a_suspect(each.second.suspects, suspects);
    });
}

void solo_claims::make_room(time_point now)
{
    if (claims_.size() < max_claims)
        return;
    std::erase_if(claims_, [now](const auto& each) {
        return now >= each.second.expires_at;
    });
    if (claims_.size() < max_claims)
        return;
    claims_.erase(std::min_element(
        claims_.begin(), claims_.end(), [](const auto& a, const auto& b) {
            return a.second.expires_at < b.second.expires_at;
        }));
}

} // namespace cyclamenrun
