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

/** Log, clock and history shared by the simulated processes. */
struct simulated_world {
    fake_log log;
    time_point now{};
    configuration_history history;
    std::uint64_t last_snapshot_id = 0;
    int last_entry_number = 0;

    void advance(milliseconds by) { now += by; }
};

/** The parts of an entry that handle its configuration, run step by step. */
class simulated_entry
{
public:
    explicit simulated_entry(simulated_world& world,
                             snapshot_settings settings = {})
        : name("entry-" + std::to_string(++world.last_entry_number)),
          world_(world),
          tailer_(
              world.log, store, {}, [&world] { return world.now; },
              [] { return 0.5; }),
          writer_(std::make_shared<snapshot_writer>(
              world.log, store, name, settings,
              [&world] { return ++world.last_snapshot_id; }, world.now))
    {
        tailer_.set_snapshot_writer(writer_);
    }

    /** Performs one read of the log. */
    void read_log()
    {
        tailer_.read_once(milliseconds(0));
        record_state();
    }

    /** Reads often enough to reach the end of a log that is available. */
    void catch_up()
    {
        for (int i = 0; i < 20; ++i)
            read_log();
    }

    void restore_from(const simulated_entry& peer)
    {
        store.restore_from_peer(peer.store.serialized_state());
        record_state();
    }

    /** Starts a change, which step_submitters() continues. */
    void submit(const v1::ChangeRecord& change,
                milliseconds timeout = milliseconds(10'000))
    {
        submitters_.emplace_back(change, world_.now + timeout);
    }

    /** Performs one step of each change in progress. */
    void step_submitters()
    {
        for (auto it = submitters_.begin(); it != submitters_.end();) {
            if (step(*it))
                it = submitters_.erase(it);
            else
                ++it;
        }
    }

    /**
     * Submits a change and runs this entry until all changes submitted to it
     * are answered. Returns the last answer.
     */
    outcome<v1::ApplyChangeResponse> apply(const v1::ChangeRecord& change)
    {
        submit(change);
        while (!submitters_.empty()) {
            step_submitters();
            read_log();
            world_.advance(milliseconds(100));
        }
        return last_answer;
    }

    /** Records this entry's state in the history if its revision changed. */
    void record_state()
    {
        if (!store.ready() || store.revision() == recorded_revision_)
            return;
        recorded_revision_ = store.revision();
        world_.history.record_state(name, store);
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
        world_.history.record_answer(submitter.change().change_id(),
                                     last_answer);
        return true;
    }

    simulated_world& world_;
    std::uint64_t recorded_revision_ = ~0ULL;
    log_tailer tailer_;
    std::shared_ptr<snapshot_writer> writer_;
    std::list<change_submitter> submitters_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TESTS_SIMULATED_ENTRY_HPP
