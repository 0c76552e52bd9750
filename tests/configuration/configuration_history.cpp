#include "configuration_history.hpp"

namespace cyclamenrun
{

void configuration_history::record_state(const std::string& reader,
                                         const configuration_store& store)
{
    const auto snapshot = store.snapshot();
    std::set<std::string> accepted;
    for (const auto& outcome : snapshot.outcomes()) {
        if (outcome.accepted())
            accepted.insert(outcome.change_id());
    }
    record_state(reader, snapshot.next_offset(), snapshot.SerializeAsString(),
                 std::move(accepted));
}

void configuration_history::record_state(const std::string& reader,
                                         std::uint64_t revision,
                                         const std::string& state,
                                         std::set<std::string> accepted)
{
    if (!observations_.empty() && observations_.back().reader == reader &&
        observations_.back().state == state)
        return;
    observations_.push_back({reader, revision, state, std::move(accepted)});
}

void configuration_history::record_answer(
    const std::string& change_id,
    const outcome<v1::ApplyChangeResponse>& answer)
{
    if (!answer || answer->has_conflict() || answer->has_invalid())
        record_refused(change_id);
    else if (answer->has_accepted())
        record_accepted(change_id, answer->accepted().revision());
}

void configuration_history::record_accepted(const std::string& change_id,
                                            std::uint64_t revision)
{
    accepted_[change_id] = revision;
}

void configuration_history::record_refused(const std::string& change_id)
{
    refused_.insert(change_id);
}

std::set<violation> configuration_history::violations() const
{
    std::set<violation> found;
    check_revision_order(found);
    check_equal_states(found);
    check_answers(found);
    return found;
}

void configuration_history::check_revision_order(
    std::set<violation>& found) const
{
    std::map<std::string, std::uint64_t> last;
    for (const auto& each : observations_) {
        if (each.revision < last[each.reader])
            found.insert(violation::revision_went_back);
        last[each.reader] = each.revision;
    }
}

void configuration_history::check_equal_states(std::set<violation>& found) const
{
    std::map<std::uint64_t, std::string> states;
    for (const auto& each : observations_) {
        const auto known = states.emplace(each.revision, each.state).first;
        if (known->second != each.state)
            found.insert(violation::states_differ);
    }
}

void configuration_history::check_answers(std::set<violation>& found) const
{
    for (const auto& each : observations_) {
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
            found.insert(violation::contradictory_answers);
    }
}

} // namespace cyclamenrun
