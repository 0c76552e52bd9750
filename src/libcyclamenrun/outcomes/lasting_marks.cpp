#include "poison_register.hpp"

#include "poison_marks.hpp"

// The marks that outlast the processes.

namespace cyclamenrun
{

std::vector<mark_key> poison_register::changed_since(std::uint64_t version,
                                                     time_point now) const
{
    std::vector<mark_key> changed;
    for (const auto& each : changes_since(version, now)) {
        if (each.kind == change_kind::request)
            changed.push_back({mark_kind::request, each.key});
        else if (each.kind == change_kind::clearance)
            changed.push_back({mark_kind::clearance, each.key});
    }
    return changed;
}

std::vector<link::PoisonMark>
poison_register::lasting_marks(const mark_key& key, time_point now) const
{
    if (key.kind == mark_kind::clearance) {
        const auto found = cleared_parts_.find(key.fingerprint);
        if (found == cleared_parts_.end() || now >= found->second.deadline)
            return {};
        return {make_clearance_mark(found->second.told, now)};
    }
    const auto* known = find(key.fingerprint, now);
    if (known == nullptr || known->losses.empty())
        return {};
    return marks_of(key.fingerprint, *known, now);
}

} // namespace cyclamenrun
