#ifndef CYCLAMENRUN_TESTS_POISON_FLEET_HPP
#define CYCLAMENRUN_TESTS_POISON_FLEET_HPP

#include "peer_network.hpp"
#include "poison_guard.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenrun::testing_support
{

/** What a gateway of the fleet shares with others: its marks. */
struct fleet_marks {
    fleet_marks() { guard.set_news_time(milliseconds(300)); }

    std::mt19937_64 random{7};
    poison_guard guard{random};
    std::vector<peer_table> tables() { return {guard.table()}; }
};

/**
 * Gateways before upstreams that run requests in batches, on virtual time
 * without I/O. Requests have parts of their prompts in common; some parts crash
 * each upstream that begins to write on them. Upstreams also crash and leave
 * for other causes. Gateways pause, restart, join and are cut off.
 */
class poison_fleet : public peer_network<fleet_marks>
{
public:
    /** Time after which all gateways in touch act on a crash. */
    static constexpr milliseconds contact_time{3000};

    struct shape {
        std::size_t gateways = 5;
        std::size_t upstreams = 11;
        std::size_t shared_parts = 6; ///< sound ones
        std::size_t deadly_parts = 1;
        std::size_t other_parts = 2; ///< shared parts in each prompt
        milliseconds max_prefill{600};
        milliseconds max_writing{4000};
        double begun_before = 1; ///< seconds of sound requests at the start
    };

    poison_fleet(const shape& of, std::uint64_t seed);

    /** Lets time pass in which requests come; rates are per second. */
    void run(milliseconds time, double sound_rate, double deadly_rate);

    // What may happen to the fleet.
    /** All that begins with sound part `i` from now on crashes its upstream. */
    void turn_deadly(std::size_t i);
    void restart_gateway(std::size_t i);
    void add_gateway();
    void freeze(std::size_t i, milliseconds time);
    void cut();
    void heal();
    /** Crashes this share of the upstreams for a cause of their own. */
    void crash_upstreams(double share);
    /** Upstreams leave, which ends their runs and marks nothing. */
    void reclaim_upstreams(double share);

    /** A part that crashes upstreams, and what it has cost. */
    struct deadly_part {
        std::uint64_t fingerprint = 0;
        unsigned crashes = 0; ///< upstreams lost under it
        std::optional<time_point> fifth_crash;
        /** Sends by gateways in touch, `contact_time` after it. */
        unsigned late_sends = 0;
    };
    const std::vector<deadly_part>& deadly() const { return deadly_; }
    unsigned worst_late_sends() const;
    unsigned most_crashes() const;
    /** Longest time for which a gateway in touch refused a sound part. */
    milliseconds longest_false_conviction() const { return longest_refusal_; }

    struct counts {
        unsigned sent = 0;  ///< sound requests
        unsigned begun = 0; ///< at their first attempt
    };
    /** Counts of sound requests since the last call. */
    counts take_counts();

    std::size_t pick(std::size_t below) { return random() % below; }
    std::uint64_t sound_part(std::size_t i) const { return sound_.at(i); }
    std::size_t sound_parts() const { return sound_.size(); }
    bool in_touch(std::size_t gateway) const;

private:
    struct request {
        std::size_t gateway = 0;
        std::uint64_t incarnation = 0; ///< of the gateway's process
        suspected_work work;
        unsigned attempts = 0;
        solo_run claim;
    };
    struct run_state {
        std::shared_ptr<request> of;
        std::optional<std::size_t> deadly; ///< index of its deadly part
        time_point sent_at;
        time_point begins_at;
        time_point crashes_at; ///< max: it is sound
        time_point ends_at;
        bool settled = false;
    };
    struct upstream {
        std::string id;
        time_point up_at{};
        std::vector<run_state> runs;
    };
    struct loss_report {
        std::shared_ptr<request> of;
        std::string upstream;
        lost_run run;
        time_point known_at;
    };
    struct gateway_state {
        std::uint64_t incarnation = 1;
        time_point disturbed_at{}; ///< restarted, frozen or cut off then
        time_point frozen_until{};
    };

    double chance()
    {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }
    milliseconds time_up_to(milliseconds most)
    {
        return milliseconds(1 + static_cast<int>(pick(most.count())));
    }
    poison_guard& guard_of(std::size_t i) { return nodes[i].tables->guard; }
    void start_request(std::optional<std::size_t> deadly);
    /** False: the request waits. */
    bool dispatch(const std::shared_ptr<request>& sent);
    void send(const std::shared_ptr<request>& sent, bool solo);
    upstream* choose(bool solo);
    /** Index of a deadly part of the work; empty: it has none. */
    std::optional<std::size_t> find_deadly(const suspected_work& work) const;
    void make_deadly(run_state& run);
    void advance_upstreams();
    void lose(upstream& lost, bool marks);
    void report_losses();
    void advance_gateways();
    void record_refusals();
    bool is_current(const request& known) const;

    shape shape_;
    std::vector<std::uint64_t> sound_;
    std::vector<deadly_part> deadly_;
    std::vector<upstream> upstreams_;
    std::vector<gateway_state> gateways_;
    std::vector<std::shared_ptr<request>> waiting_;
    std::vector<loss_report> reports_;
    std::map<std::pair<std::size_t, std::uint64_t>, time_point> refused_since_;
    milliseconds longest_refusal_{0};
    counts counts_;
    bool is_cut_ = false;
    std::uint64_t last_request_ = 1000;
    std::uint64_t last_upstream_ = 0;
};

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_POISON_FLEET_HPP
