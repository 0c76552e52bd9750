#include "membership.hpp"

#include "digest.hpp"

#include <algorithm>
#include <set>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 4> result_names{
    "taken", "kept_for_empty", "kept_for_older", "cut_short"};

candidate candidate_of(const upstream_view& view)
{
    const vm& listed = view.listed();
    candidate found;
    found.upstream = listed.id;
    found.address = listed.address;
    found.service = listed.service;
    found.failure_domain = listed.failure_domain;
    found.region = listed.region;
    found.incarnation = view.incarnation();
    found.state = view.state();
    found.hash = hash64(listed.id);
    return found;
}

} // namespace

std::string_view name_of(list_result result)
{
    return result_names.at(static_cast<std::size_t>(result));
}

membership::membership(membership_settings settings)
    : settings_(std::move(settings)),
      subsets_(std::make_shared<const member_lists>())
{
}

list_result membership::on_list(const vm_list& list, time_point now)
{
    std::vector<vm> vms = list.vms;
    list_result result = list_result::taken;
    {
        const std::lock_guard lock(list_mutex_);
        result = check_list(list, now);
        if (result != list_result::taken && result != list_result::cut_short)
            return result;
        if (vms.size() > max_vms)
            vms.resize(max_vms);
        list_revision_ = list.revision;
        list_accepted_at_ = now;
        listed_ = vms;
    }
    update_views(vms, now);
    choose_subsets();
    return result;
}

list_result membership::check_list(const vm_list& list, time_point now) const
{
    // An empty list after a restart of the list service would remove every
    // upstream at once. If all VMs were really gone, their lost connections
    // and missed heartbeats would show it.
    if (list.vms.empty() && !listed_.empty())
        return list_result::kept_for_empty;
    // A lagging replica would bring back upstreams that are leaving. Lower
    // revisions that continue for `reject_older_lists_for` mean that the list
    // service has restarted, so its list is accepted.
    if (list.revision < list_revision_ &&
        now < list_accepted_at_ + settings_.reject_older_lists_for)
        return list_result::kept_for_older;
    return list.vms.size() > max_vms ? list_result::cut_short
                                     : list_result::taken;
}

void membership::update_views(const std::vector<vm>& vms, time_point now)
{
    std::set<std::string> listed;
    for (const auto& listed_vm : vms) {
        listed.insert(listed_vm.id);
        shard& owning_shard = shard_of(listed_vm.id);
        const std::lock_guard lock(owning_shard.mutex);
        owning_shard.views[listed_vm.id].on_listed(listed_vm);
    }
    std::vector<vm> unlisted_suspects;
    for (auto& each_shard : shards_) {
        const std::lock_guard lock(each_shard.mutex);
        for (auto& [id, view] : each_shard.views) {
            if (listed.contains(id))
                continue;
            view.on_unlisted(now + settings_.forget_after);
            if (view.failure_suspicion().suspected())
                unlisted_suspects.push_back(view.listed());
        }
        std::erase_if(each_shard.views, [now](const auto& known) {
            return known.second.is_forgotten(now);
        });
    }
    for (const auto& unlisted : unlisted_suspects)
        record_suspicion(unlisted, false, now);
}

void membership::choose_subsets()
{
    const std::lock_guard lock(list_mutex_);
    std::map<std::string, std::vector<vm>> by_service;
    std::map<std::string, vm> by_id;
    std::size_t entries = 0;
    for (const auto& listed : listed_) {
        if (listed.service == settings_.entry_service) {
            ++entries;
            continue;
        }
        const auto known = find(listed.id);
        if (!known || !accepts_work(known->state))
            continue;
        by_service[listed.service].push_back(listed);
        by_id[listed.id] = listed;
    }
    auto chosen = std::make_shared<member_lists>();
    for (const auto& [service, upstreams] : by_service)
        (*chosen)[service] = choose_subset(
            settings_.entry, upstreams,
            subset_size(settings_.subset, upstreams.size(), entries));
    update_domain_sizes(*chosen, by_id);
    subsets_ = std::move(chosen);
}

void membership::update_domain_sizes(const member_lists& chosen,
                                     const std::map<std::string, vm>& members)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& listed : listed_)
        counts[listed.failure_domain] = 0;
    for (const auto& [service, ids] : chosen) {
        for (const auto& id : ids)
            ++counts[members.at(id).failure_domain];
    }
    const std::lock_guard lock(domain_cuts_mutex_);
    for (const auto& [domain, count] : counts)
        domain_cuts_.set_known_upstreams(domain, count);
}

void membership::on_connected(const std::string& upstream)
{
    shard& owning_shard = shard_of(upstream);
    const std::lock_guard lock(owning_shard.mutex);
    const auto found = owning_shard.views.find(upstream);
    if (found != owning_shard.views.end())
        found->second.failure_suspicion().on_connected();
}

template <typename Change>
void membership::update_view(const std::string& upstream, time_point now,
                             Change change)
{
    shard& owning_shard = shard_of(upstream);
    vm listed;
    bool before = false;
    bool after = false;
    {
        const std::lock_guard lock(owning_shard.mutex);
        const auto found = owning_shard.views.find(upstream);
        if (found == owning_shard.views.end())
            return;
        upstream_view& view = found->second;
        before = view.failure_suspicion().suspected();
        change(view);
        after = view.failure_suspicion().suspected();
        listed = view.listed();
    }
    if (before != after)
        record_suspicion(listed, after, now);
}

void membership::record_suspicion(const vm& listed, bool suspected,
                                  time_point now)
{
    const std::lock_guard lock(domain_cuts_mutex_);
    if (suspected)
        domain_cuts_.on_suspected(listed.failure_domain, listed.id, now);
    else
        domain_cuts_.on_cleared(listed.failure_domain, listed.id);
}

void membership::on_connection_lost(const std::string& upstream, time_point now)
{
    update_view(upstream, now, [now](upstream_view& view) {
        view.failure_suspicion().on_connection_lost(now);
    });
}

void membership::on_missed_heartbeat(const std::string& upstream,
                                     time_point now)
{
    update_view(upstream, now, [now](upstream_view& view) {
        view.failure_suspicion().on_missed_heartbeat(now);
    });
}

void membership::on_failure(const std::string& upstream, time_point now)
{
    update_view(upstream, now, [now](upstream_view& view) {
        view.failure_suspicion().on_failure(now);
    });
}

void membership::on_reply(const std::string& upstream,
                          const agent_report& report, time_point now)
{
    bool subsets_outdated = false;
    update_view(upstream, now, [&](upstream_view& view) {
        const bool accepted_work = accepts_work(view.state());
        if (!view.on_report(report))
            return;
        view.failure_suspicion().on_reply(now);
        subsets_outdated = accepted_work != accepts_work(view.state());
    });
    if (subsets_outdated)
        choose_subsets();
}

std::vector<candidate> membership::candidates(const std::string& service) const
{
    const auto chosen = subsets();
    const auto members = chosen->find(service);
    std::vector<candidate> found;
    if (members != chosen->end())
        append_known(found, members->second);
    std::erase_if(
        found, [](const candidate& each) { return !accepts_work(each.state); });
    return found;
}

std::optional<candidate> membership::find(const std::string& upstream) const
{
    const shard& owning_shard = shard_of(upstream);
    const std::lock_guard lock(owning_shard.mutex);
    const auto found = owning_shard.views.find(upstream);
    if (found == owning_shard.views.end())
        return {};
    return candidate_of(found->second);
}

std::vector<candidate> membership::subset() const
{
    const auto chosen = subsets();
    std::vector<candidate> found;
    for (const auto& [service, members] : *chosen)
        append_known(found, members);
    return found;
}

std::vector<std::string> membership::entries() const
{
    std::set<std::string> live{settings_.entry};
    const std::lock_guard lock(list_mutex_);
    for (const auto& listed : listed_) {
        if (listed.service == settings_.entry_service &&
            listed.state == vm_state::live)
            live.insert(listed.id);
    }
    return {live.begin(), live.end()};
}

bool membership::is_cut_off(const std::string& failure_domain) const
{
    const std::lock_guard lock(domain_cuts_mutex_);
    return domain_cuts_.is_cut_off(failure_domain);
}

void membership::append_known(std::vector<candidate>& found,
                              const member_list& members) const
{
    for (const auto& id : members) {
        if (auto known = find(id))
            found.push_back(std::move(*known));
    }
}

std::shared_ptr<const membership::member_lists> membership::subsets() const
{
    const std::lock_guard lock(list_mutex_);
    return subsets_;
}

const membership::shard& membership::shard_of(const std::string& upstream) const
{
    return shards_.at(hash64(upstream) % shard_count);
}

membership::shard& membership::shard_of(const std::string& upstream)
{
    return shards_.at(hash64(upstream) % shard_count);
}

} // namespace cyclamenrun
