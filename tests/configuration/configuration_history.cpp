#include "configuration_history.hpp"

namespace cyclamenrun
{

void configuration_history::see(const std::string& reader,
                                const configuration_store& store)
{
    const auto snapshot = store.snapshot();
    std::set<std::string> accepted;
    for (const auto& outcome : snapshot.outcomes()) {
        if (outcome.accepted())
            accepted.insert(outcome.change_id());
    }
    see(reader, snapshot.next_offset(), snapshot.SerializeAsString(),
        std::move(accepted));
}

void configuration_history::see(const std::string& reader,
                                std::uint64_t revision,
                                const std::string& state,
                                std::set<std::string> accepted)
{
    if (!seen_.empty() && seen_.back().reader == reader &&
        seen_.back().state == state)
        return;
    seen_.push_back({reader, revision, state, std::move(accepted)});
}

void configuration_history::tell(const std::string& change_id,
                                 const outcome<v1::ApplyChangeResponse>& answer)
{
    if (!answer || answer->has_conflict() || answer->has_invalid())
        tell_refused(change_id);
    else if (answer->has_accepted())
        tell_accepted(change_id, answer->accepted().revision());
}

void configuration_history::tell_accepted(const std::string& change_id,
                                          std::uint64_t revision)
{
    accepted_[change_id] = revision;
}

void configuration_history::tell_refused(const std::string& change_id)
{
    refused_.insert(change_id);
}

std::set<violation> configuration_history::violations() const
{
    std::set<violation> found;
    check_order(found);
    check_sameness(found);
    check_promises(found);
    return found;
}

void configuration_history::check_order(std::set<violation>& found) const
{
    std::map<std::string, std::uint64_t> last;
    for (const auto& each : seen_) {
        if (each.revision < last[each.reader])
            found.insert(violation::revision_went_back);
        last[each.reader] = each.revision;
    }
}

void configuration_history::check_sameness(std::set<violation>& found) const
{
    std::map<std::uint64_t, std::string> states;
    for (const auto& each : seen_) {
        const auto known = states.emplace(each.revision, each.state).first;
        if (known->second != each.state)
            found.insert(violation::states_differ);
    }
}

void configuration_history::check_promises(std::set<violation>& found) const
{
    for (const auto& each : seen_) {
        for (const auto& [change, revision] : accepted_) {
            if (each.revision >= revision && !each.accepted.contains(change))
                found.insert(violation::accepted_lost);
        }
        for (const auto& change : refused_) {
            if (each.accepted.contains(change))
                found.insert(violation::refused_in_force);
        }
    }
    for (const auto& change : refused_) {
        if (accepted_.contains(change))
            found.insert(violation::told_twice);
    }
}

} // namespace cyclamenrun
