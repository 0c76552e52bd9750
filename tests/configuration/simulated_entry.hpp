#ifndef CYCLAMENRUN_TESTS_SIMULATED_ENTRY_HPP
#define CYCLAMENRUN_TESTS_SIMULATED_ENTRY_HPP

#include "change_submitter.hpp"
#include "configuration_history.hpp"
#include "configuration_store.hpp"
#include "fake_log.hpp"
#include "log_tailer.hpp"
#include "snapshot_writer.hpp"

#include <list>
#include <memory>
#include <string>

namespace cyclamenrun
{

/** Log, clock and history that simulated processes share. */
struct simulated_world {
    fake_log log;
    time_point now{};
    configuration_history history;
    std::uint64_t last_snapshot_id = 0;
    int last_entry = 0;

    void advance(milliseconds by) { now += by; }
};

/** The configuration's part of an entry, stepped by hand. */
class simulated_entry
{
public:
    explicit simulated_entry(simulated_world& world,
                             snapshot_settings settings = {})
        : name("entry-" + std::to_string(++world.last_entry)), world_(world),
          tailer_(
              world.log, store, {}, [&world] { return world.now; },
              [] { return 0.5; }),
          writer_(std::make_shared<snapshot_writer>(
              world.log, store, name, settings,
              [&world] { return ++world.last_snapshot_id; }, world.now))
    {
        tailer_.write_snapshots_by(writer_);
    }

    /** One read of the log. */
    void pass()
    {
        tailer_.pass(milliseconds(0));
        see();
    }

    void catch_up()
    {
        for (int i = 0; i < 20; ++i)
            pass();
    }

    void take_state_of(const simulated_entry& peer)
    {
        store.restore_from_peer(peer.store.state());
        see();
    }

    void submit(const v1::ChangeRecord& change,
                milliseconds limit = milliseconds(10'000))
    {
        submitters_.emplace_back(change, world_.now + limit);
    }

    /** Takes each change under way one step further. */
    void step_changes()
    {
        for (auto it = submitters_.begin(); it != submitters_.end();) {
            if (step(*it))
                it = submitters_.erase(it);
            else
                ++it;
        }
    }

    /** Submits and sees it through, alone. */
    outcome<v1::ApplyChangeResponse> apply(const v1::ChangeRecord& change)
    {
        submit(change);
        while (!submitters_.empty()) {
            step_changes();
            pass();
            world_.advance(milliseconds(100));
        }
        return last_answer;
    }

    /** Notes what is in force here, if that may have changed. */
    void see()
    {
        if (!store.ready() || store.revision() == seen_revision_)
            return;
        seen_revision_ = store.revision();
        world_.history.see(name, store);
    }

    tail_status status() const { return tailer_.status(); }
    snapshot_writer& writer() { return *writer_; }
    bool is_idle() const { return submitters_.empty(); }

    std::string name;
    configuration_store store;
    outcome<v1::ApplyChangeResponse> last_answer;

private:
    bool step(change_submitter& submitter)
    {
        const auto progress = store.progress(submitter.change());
        const auto next = submitter.next(progress, world_.now);
        if (next == submit_step::append)
            submitter.on_append(world_.log.append(submitter.record()),
                                world_.now);
        if (next != submit_step::done)
            return false;
        last_answer = submitter.result();
        world_.history.tell(submitter.change().change_id(), last_answer);
        return true;
    }

    simulated_world& world_;
    std::uint64_t seen_revision_ = ~0ULL;
    log_tailer tailer_;
    std::shared_ptr<snapshot_writer> writer_;
    std::list<change_submitter> submitters_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_SIMULATED_ENTRY_HPP
