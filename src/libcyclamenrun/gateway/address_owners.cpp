#include "address_owners.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace cyclamenrun
{

std::optional<ip_endpoint> address_owners::claim(const upstream_record& record,
                                                 time_point now)
{
    const auto key = to_string(record.address);
    std::optional<ip_endpoint> left;
    if (auto* earlier = find_claim(record.id)) {
        const bool is_same_address = address_of_.at(record.id) == key;
        if (is_same_address && earlier->started_ms == record.started_ms) {
            earlier->service = record.service;
            earlier->listed = true;
            return std::nullopt;
        }
        if (!is_same_address)
            left = addresses_.at(address_of_.at(record.id)).address;
        withdraw(record.id);
    }
    auto& at = addresses_[key];
    at.address = record.address;
    at.claims.push_back({record.id, record.service, record.started_ms, now});
    at.unverified = false;
    address_of_[record.id] = key;
    return left;
}

void address_owners::record_removal(const std::string& id)
{
    if (auto* claim = find_claim(id))
        claim->listed = false;
}

void address_owners::withdraw(const std::string& id)
{
    for (auto entry = addresses_.begin(); entry != addresses_.end();) {
        auto& at = entry->second;
        if (at.responded && at.responded->id == id)
            at.responded.reset();
        std::erase_if(at.claims,
                      [&](const auto& each) { return each.id == id; });
        const bool is_unused = at.claims.empty() && !at.responded;
        entry = is_unused ? addresses_.erase(entry) : std::next(entry);
    }
    address_of_.erase(id);
}

void address_owners::record_responder(const ip_endpoint& address,
                                      const std::string& id, time_point now)
{
    const auto found = addresses_.find(to_string(address));
    if (found == addresses_.end())
        return;
    auto& at = found->second;
    at.responded = responder{id, now};
    at.unverified = false;
    for (auto& each : at.claims)
        if (each.id == id)
            each.misdirected_at.reset();
}

void address_owners::record_misdirected(const std::string& id, time_point now)
{
    if (auto* claim = find_claim(id))
        claim->misdirected_at = now;
}

void address_owners::record_unverified(const ip_endpoint& address)
{
    const auto found = addresses_.find(to_string(address));
    if (found == addresses_.end())
        return;
    auto& at = found->second;
    at.unverified = true;
    at.responded.reset();
    for (auto& each : at.claims)
        each.misdirected_at.reset();
}

address_owners::address_claim* address_owners::find_claim(const std::string& id)
{
    const auto key = address_of_.find(id);
    if (key == address_of_.end())
        return nullptr;
    auto& claims = addresses_.at(key->second).claims;
    const auto found =
        std::find_if(claims.begin(), claims.end(),
                     [&](const auto& each) { return each.id == id; });
    return found == claims.end() ? nullptr : &*found;
}

const address_owners::claimed_address*
address_owners::find(const ip_endpoint& address) const
{
    const auto found = addresses_.find(to_string(address));
    return found == addresses_.end() ? nullptr : &found->second;
}

const address_owners::address_claim*
address_owners::latest_claim(const claimed_address& at,
                             const std::optional<time_point>& after) const
{
    const address_claim* latest = nullptr;
    for (const auto& each : at.claims) {
        if ((after && each.claimed_at <= *after) || !counts(each))
            continue;
        const bool is_later =
            latest == nullptr ||
            std::tuple(each.listed, each.started_ms) >=
                std::tuple(latest->listed, latest->started_ms);
        if (is_later)
            latest = &each;
    }
    return latest;
}

const address_owners::address_claim*
address_owners::newer_claim(const claimed_address& at) const
{
    const auto* latest = latest_claim(at, at.responded->at);
    if (latest == nullptr || latest->id == at.responded->id)
        return nullptr;
    // The start of a responder that claims nothing is not known: it is later
    // than those of the claims before it.
    const bool is_latest =
        std::all_of(at.claims.begin(), at.claims.end(), [&](const auto& each) {
            return each.claimed_at > at.responded->at ||
                   each.started_ms < latest->started_ms;
        });
    return is_latest ? latest : nullptr;
}

std::string address_owners::owner_of(const claimed_address& at) const
{
    if (at.responded) {
        const auto* newer = newer_claim(at);
        return newer == nullptr ? at.responded->id : newer->id;
    }
    const auto* latest = latest_claim(at, std::nullopt);
    return latest == nullptr ? std::string() : latest->id;
}

std::string address_owners::owner(const ip_endpoint& address) const
{
    const auto* at = find(address);
    return at == nullptr ? std::string() : owner_of(*at);
}

bool address_owners::is_superseded(const std::string& id) const
{
    const auto key = address_of_.find(id);
    if (key == address_of_.end())
        return false;
    const auto& at = addresses_.at(key->second);
    if (!at.unverified && owner_of(at) != id)
        return true;
    return std::any_of(
        at.claims.begin(), at.claims.end(),
        [&](const auto& each) { return each.id == id && each.misdirected_at; });
}

bool address_owners::is_contested(const ip_endpoint& address) const
{
    const auto* at = find(address);
    if (at == nullptr)
        return false;
    std::size_t counting = 0;
    for (const auto& each : at->claims) {
        if (!counts(each))
            continue;
        ++counting;
        if (each.misdirected_at &&
            (!at->responded || at->responded->at <= *each.misdirected_at))
            return true;
    }
    return at->responded ? newer_claim(*at) != nullptr : counting > 1;
}

std::vector<std::string>
address_owners::claimants(const ip_endpoint& address) const
{
    std::vector<std::string> ids;
    if (const auto* at = find(address))
        for (const auto& each : at->claims)
            ids.push_back(each.id);
    return ids;
}

std::vector<ip_endpoint> address_owners::addresses() const
{
    std::vector<ip_endpoint> all;
    for (const auto& [key, at] : addresses_)
        all.push_back(at.address);
    return all;
}

} // namespace cyclamenrun
