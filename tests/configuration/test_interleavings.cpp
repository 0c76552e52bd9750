#include "sample_changes.hpp"
#include "simulated_entry.hpp"

#include <cstdlib>
#include <gtest/gtest.h>
#include <list>
#include <rapidcheck.h>

namespace cyclamenrun
{
namespace
{

/** One step of a random run: an action, an entry and an argument. */
struct random_step {
    std::uint8_t action = 0;
    std::uint8_t entry_index = 0;
    std::uint8_t argument = 0;
};

/**
 * Runs three entries under concurrent changes of two teams and random faults:
 * all results of an append, outages of the log, expired records, replaced
 * entries and outdated snapshots.
 */
class random_run
{
public:
    random_run()
    {
        settings_.max_records = 12;
        for (int i = 0; i < 3; ++i)
            entries_.emplace_back(world_, settings_).read_log();
    }

    void step(const random_step& step)
    {
        simulated_entry& entry = entry_at(step.entry_index);
        switch (step.action % 12) {
        case 0:
        case 1:
            return submit(entry, step.argument);
        case 2:
        case 3:
            return entry.step_submitters();
        case 4:
        case 5:
        case 6:
            return entry.read_log();
        case 7:
            return world_.log.queue_result(
                static_cast<append_result>(step.argument % 5));
        case 8:
            return world_.log.deliver_delayed();
        case 9:
            world_.log.set_unavailable(step.argument % 3 == 0);
            return world_.advance(milliseconds(step.argument * 50));
        case 10:
            return replace_entry_or_expire_records(step);
        case 11:
            return store_or_append_old_snapshot(entry, step.argument);
        default:
            return;
        }
    }

    /** Ends all faults and runs the entries until they have caught up. */
    void clear_faults()
    {
        world_.log.set_unavailable(false);
        for (int i = 0; i < 40; ++i) {
            for (auto& entry : entries_) {
                entry.step_submitters();
                entry.read_log();
            }
            world_.advance(milliseconds(2'000));
        }
        world_.log.deliver_delayed();
        for (auto& entry : entries_)
            entry.catch_up();
    }

    /**
     * Returns whether all entries are idle and at the same revision. Each entry
     * reads the log first, since the last records may be a new snapshot.
     */
    bool have_converged()
    {
        for (auto& entry : entries_) {
            entry.catch_up();
            if (!entry.is_idle() ||
                entry.store.revision() != entries_.front().store.revision())
                return false;
        }
        return true;
    }

    std::set<violation> violations() const
    {
        return world_.history.violations();
    }
    std::uint64_t gaps() const
    {
        std::uint64_t sum = 0;
        for (const auto& entry : entries_)
            sum += entry.status().gaps;
        return sum;
    }

private:
    simulated_entry& entry_at(std::uint8_t entry_index)
    {
        return *std::next(entries_.begin(), entry_index % entries_.size());
    }

    void submit(simulated_entry& entry, std::uint8_t argument)
    {
        if (!entry.store.ready())
            return;
        const std::string team = argument % 2 == 0 ? "amianto" : "codigos";
        const std::uint64_t base = entry.store.view()->resources.revision_of(
            v1::RESOURCE_KIND_TEAM, team);
        auto change = team_change("c-" + std::to_string(++changes_), base,
                                  argument + 1U, team);
        if (argument % 7 == 0)
            change.mutable_resource()->mutable_team()->add_services("nowhere");
        if (argument % 11 == 0 && base != 0)
            change.clear_resource();
        entry.submit(change, milliseconds(argument % 5 == 0 ? 300 : 5'000));
        // The same change through another entry, as if an operator had received
        // no answer and retried.
        if (argument % 3 == 0)
            entry_at(argument).submit(change, milliseconds(5'000));
    }

    /**
     * Replaces the oldest entry with a new one that starts from its state, or
     * expires records of the log.
     */
    void replace_entry_or_expire_records(const random_step& step)
    {
        std::uint64_t lowest_revision = world_.log.end();
        auto oldest_entry = entries_.begin();
        if (step.argument % 2 == 0) {
            if (!oldest_entry->is_idle())
                return;
            entries_.emplace_back(world_, settings_);
            entries_.back().restore_from(*oldest_entry);
            entries_.erase(oldest_entry);
            return;
        }
        for (auto& entry : entries_) {
            // In one of five cases, records that entries still need expire too.
            if (entry.store.ready() && step.argument % 5 != 0)
                lowest_revision =
                    std::min(lowest_revision, entry.store.revision());
        }
        // Records expire only while some entry has applied them all. Otherwise
        // an accepted change could be lost in the log and in every process.
        if (any_entry_holds_all_records())
            world_.log.expire_before(lowest_revision);
    }

    bool any_entry_holds_all_records()
    {
        for (auto& entry : entries_) {
            if (entry.store.ready() &&
                entry.store.revision() == world_.log.end())
                return true;
        }
        return false;
    }

    /**
     * Keeps a copy of the entry's snapshot, or appends one record of the kept
     * copy.
     */
    void store_or_append_old_snapshot(simulated_entry& entry,
                                      std::uint8_t argument)
    {
        if (argument % 2 == 0 && entry.store.ready())
            old_snapshot_ =
                snapshot_records(entry.store.snapshot(),
                                 1'000'000U + ++old_snapshot_count_, 1U << 10U);
        else if (!old_snapshot_.empty())
            world_.log.append(
                old_snapshot_.at(argument % old_snapshot_.size()));
    }

    simulated_world world_;
    snapshot_settings settings_;
    std::list<simulated_entry> entries_;
    std::vector<std::string> old_snapshot_;
    std::uint64_t old_snapshot_count_ = 0;
    int changes_ = 0;
};

std::uint64_t run_seed()
{
    const char* value = std::getenv("CYCLAMENRUN_SEED");
    return value != nullptr ? std::strtoull(value, nullptr, 10) : 20261202U;
}

TEST(interleavings, uphold_all_guarantees_to_operators)
{
    rc::detail::TestParams params;
    params.seed = run_seed();
    params.maxSuccess = 600;
    params.maxSize = 400;
    std::cout << "CYCLAMENRUN_SEED=" << params.seed << '\n';
    std::uint64_t gaps = 0;
    const auto result = rc::detail::checkTestable(
        [&gaps] {
            const auto steps = *rc::gen::container<std::vector<
                std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>>(
                rc::gen::tuple(rc::gen::arbitrary<std::uint8_t>(),
                               rc::gen::arbitrary<std::uint8_t>(),
                               rc::gen::arbitrary<std::uint8_t>()));
            random_run run;
            for (const auto& [action, entry_index, argument] : steps)
                run.step({action, entry_index, argument});
            run.clear_faults();
            RC_ASSERT(run.violations() == std::set<violation>{});
            RC_ASSERT(run.have_converged());
            gaps += run.gaps();
        },
        rc::detail::TestMetadata{"interleavings", "uphold all guarantees"},
        params);
    rc::detail::SuccessResult success;
    EXPECT_TRUE(result.match(success));
    rc::detail::printResultMessage(result, std::cout);
    std::cout << "\ngaps encountered: " << gaps << '\n';
    EXPECT_GT(gaps, 0U) << "the runs must cover gaps in the log";
}

} // namespace
} // namespace cyclamenrun
