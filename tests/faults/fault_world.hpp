#ifndef CYCLAMENRUN_TESTS_FAULT_WORLD_HPP
#define CYCLAMENRUN_TESTS_FAULT_WORLD_HPP

#include "fake_link.hpp"
#include "fake_upstream.hpp"
#include "fault_kinds.hpp"
#include "gate.hpp"
#include "history.hpp"
#include "relay.hpp"
#include "virtual_time.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenrun::faults
{

/**
 * A simulation, in virtual time, of two entries, three agents with their
 * upstreams, and one caller. Gates and relays are the production classes. The
 * links, the upstreams and the caller are fakes, which record the history.
 */
class fault_world
{
public:
    explicit fault_world(work_shape shape);
    ~fault_world();

    /**
     * Injects these faults when the work first reaches step `at`, each after
     * its own delay.
     */
    void schedule_faults(step at, std::vector<timed_fault> faults);
    /** Sends the caller's work and runs the simulation for 60 s. */
    const history& run();

private:
    struct agent_node {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<gate> agent_gate;
        std::unique_ptr<fake_upstream> upstream;
        std::optional<time_point> frozen_until;
        bool leaving = false;
        /** Events that arrive late may still refer to these gates. */
        std::vector<std::unique_ptr<gate>> stopped_gates;
    };
    /** Both directions of the link between an entry and an agent. */
    struct link_pair {
        fake_link to_agent;
        fake_link to_entry;
        explicit link_pair(virtual_time& time) : to_agent(time), to_entry(time)
        {
        }
    };
    /** One stream between an entry's relay and an agent's gate. */
    struct link_stream {
        std::size_t entry = 0;
        std::size_t agent = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t session = 0;
        stream_number number = 0;
        reader_id reader = 0;
        bool attached = false;
        bool agent_closed = false;
        bool entry_closed = false;
        /** The caller reads nothing, so the flow control window is closed. */
        bool caller_paused = false;
        bool drop_next_frame = false;
        bool swap_next_frame = false;
        std::optional<link::AgentFrame> swapped_frame;
    };
    using stream_pointer = std::shared_ptr<link_stream>;
    /** One HTTP request of the caller, served by one entry. */
    struct session {
        std::size_t entry = 0;
        std::string caller_request_id;
        std::unique_ptr<relay> session_relay;
        bool finished = false; ///< the caller has an outcome or disconnected
        bool acknowledged = false;
    };

    // Agents.
    void start_agent(std::size_t index);
    void kill_agent(std::size_t index);
    void tick_agents();
    void freeze_agent(std::size_t index, milliseconds pause);
    bool frozen(const agent_node& node) const;
    std::size_t current_agent() const;

    // Entries and their messages.
    relay_hooks hooks_for(std::size_t entry);
    void perform(std::uint64_t session, const relay_actions& actions);
    void perform(std::uint64_t session, const open_stream& action);
    void perform(std::uint64_t session, const close_stream& action);
    void perform(std::uint64_t session, const send_message& action);
    void perform(std::uint64_t session, const write_tokens& action);
    void perform(std::uint64_t session, const write_end& action);
    void perform(std::uint64_t session, const write_answer& action);
    void perform(std::uint64_t session, const write_refusal& action);
    /** Schedules the relay's on_time() for its next_event(). */
    void arm_timer(std::uint64_t session);
    void kill_entry(std::size_t entry);
    void freeze_entry(std::size_t entry, milliseconds pause);
    bool entry_runs(std::size_t entry) const;

    // Streams.
    void deliver(const stream_pointer& stream, const std::string& path,
                 const std::string& frame);
    void pull(const stream_pointer& stream);
    void wake(std::size_t agent, reader_id reader);
    void to_relay(const stream_pointer& stream, const link::AgentFrame& frame);
    void send_frame(const stream_pointer& stream,
                    const link::AgentFrame& frame);
    void handle_stream_lost(const stream_pointer& stream,
                            bool request_may_have_run);
    void close_agent_side(const stream_pointer& stream);
    void watch_keepalive(const stream_pointer& stream);
    link_pair& link_pair_of(std::size_t entry, std::size_t agent);

    // The caller.
    void send_request(std::size_t entry,
                      std::optional<stream_position> resume_after);
    /** The caller sends its request again at the other entry, if it may. */
    void handle_caller_disconnected(std::uint64_t session);
    void record_tokens(std::uint64_t session,
                       const std::vector<std::string>& texts);
    void record(event_kind kind, std::uint64_t session, std::uint64_t run = 0,
                std::uint64_t index = 0);

    // Faults.
    void reach_step(step at);
    void inject_fault(fault what);

    work_shape shape_;
    history history_;
    virtual_time time_;
    std::vector<agent_node> agents_;
    std::vector<std::unique_ptr<link_pair>> link_pairs_;
    std::array<bool, 2> entry_alive_{true, true};
    std::array<std::optional<time_point>, 2> entry_frozen_until_{};
    std::vector<stream_pointer> streams_;
    std::map<std::uint64_t, session> sessions_;
    std::uint64_t last_session_ = 0;
    std::uint64_t last_incarnation_ = 0;
    std::optional<stream_position> last_received_;
    std::optional<link::Ticket> ticket_;
    std::size_t serving_entry_ = 0;
    std::size_t running_agent_ = 0;
    int resends_left_ = 4;
    bool caller_disconnected_ = false; ///< for good: it sends nothing more
    bool caller_slow_ = false;
    poison_register marks_;
    std::uint64_t last_claim_ = 0;
    std::optional<step> fault_step_;
    std::vector<timed_fault> scheduled_faults_;
};

} // namespace cyclamenrun::faults

#endif // CYCLAMENRUN_TESTS_FAULT_WORLD_HPP
