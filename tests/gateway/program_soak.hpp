#ifndef CYCLAMENRUN_TESTS_PROGRAM_SOAK_HPP
#define CYCLAMENRUN_TESTS_PROGRAM_SOAK_HPP

#include "gateway_program.hpp"
#include "loss_judge.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace cyclamenrun::testing_support
{

/** What callers of a soak saw. */
struct soak_report {
    int whole = 0;      ///< answers to their end
    int broken_off = 0; ///< visibly incomplete
    int resumed = 0;    ///< streams that went on after a break
    int refused = 0;
    int dropped = 0; ///< requests that crossed a close, by the logs
    /** Ends without a whole answer, by their reason. */
    std::map<loss_verdict, int> breaks;
    std::vector<std::string> violations;
};

/** Which disturbances a soak draws. */
enum class soak_mode : std::uint8_t {
    all,
    /** Stops, reloads, changes and pauses: every loss is a violation. */
    planned,
};

/**
 * Gateway programs before upstreams of two software versions, disturbed by
 * signals, restarts and changes in series that a seed draws. Callers keep their
 * connections open until the process is gone and judge each answer by its end.
 */
class program_soak
{
public:
    static constexpr std::size_t gateways = 3;
    static constexpr int last_event = 8;
    static constexpr milliseconds stop_grace{5000};

    explicit program_soak(unsigned seed, soak_mode mode = soak_mode::all);
    ~program_soak();
    program_soak(const program_soak&) = delete;
    program_soak& operator=(const program_soak&) = delete;

    /** Disturbs the programs for this time, lets them recover, and reports. */
    soak_report run(milliseconds time);

private:
    /** A number below `count`. */
    static int draw(std::mt19937_64& random, int count)
    {
        return static_cast<int>(random() % static_cast<unsigned>(count));
    }

    struct program {
        std::unique_ptr<temporary_settings_file> settings;
        std::unique_ptr<child_process> process;
        std::string address;
        std::string settings_text;
    };
    /** A request at an upstream. */
    struct upstream_run {
        std::optional<time_point> ended;
    };
    /** A request that ended without a whole answer. */
    struct broken_answer {
        std::string id;
        std::string address; ///< of the program
        time_point sent;
        time_point ended;
    };
    struct action {
        time_point at;
        std::function<void()> act;
    };
    /** A caller's stream over all its tries. */
    struct stream_so_far {
        std::string first_id;
        std::string body;
        int next_event = 1;
        bool complete = false;
    };

    void start(std::size_t index);
    void publish_configuration();
    void list(const std::string& id, const fake_upstream& upstream,
              const std::string& version, const std::string& state);
    void respond(const std::string& version, const arrived_request& request,
                 upstream_reply& reply);
    void disturb();
    /** Draws a disturbance that ends no process without notice. */
    void disturb_planned();
    void kill(std::size_t index, int signal);
    void stop(std::size_t index);
    /** Starts the program again when its stop has ended. */
    void restart_after_stop(std::size_t index);
    void restart(std::size_t index);
    void pause(std::size_t index, milliseconds time);
    /** Lets the program run for a tenth of this time. */
    void slow_down(std::size_t index, milliseconds time);
    void reload(std::size_t index);
    /** Replaces an upstream by another id at its address. */
    void release();
    /** Judges how the program has ended and what it has written. */
    void judge_end(std::size_t index);
    void judge_loss_of(const broken_answer& broken);
    /** Lets the disturbances go on for this time. */
    void wait(milliseconds time);
    void run_due_actions();
    void later(milliseconds delay, std::function<void()> act);

    void call(std::mt19937_64 random);
    /** Sends one request on a connection; false if that must be closed. */
    bool request_once(std::mt19937_64& random, test_caller& caller,
                      const std::string& address, stream_so_far& stream);
    void judge_plain(const caller_answer& answer, const std::string& id,
                     bool repeatable);
    void judge_stream(const caller_answer& answer, stream_so_far& stream);
    void violate(const std::string& what);
    std::string address_of(std::size_t index);
    std::string text_of(const std::string& path, const std::string& id,
                        const stream_so_far& stream) const;

    soak_mode mode_;
    std::mt19937_64 random_;
    fake_store store_;
    std::mutex mutex_;
    soak_report report_;
    std::map<std::string, int> runs_; ///< of requests that must not repeat
    std::map<std::string, upstream_run> reached_; ///< by request id
    std::map<std::string, process_life> lives_;   ///< by caller address
    std::vector<broken_answer> broken_;
    int last_release_ = 2;
    int last_id_ = 0;
    int configuration_version_ = 0;
    std::atomic<bool> ending_ = false;
    std::deque<action> actions_;
    fake_upstream first_;
    fake_upstream second_;
    fake_upstream newer_;
    std::array<program, gateways> programs_;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_PROGRAM_SOAK_HPP
