#ifndef CYCLAMENRUN_UPSTREAM_BOARD_HPP
#define CYCLAMENRUN_UPSTREAM_BOARD_HPP

#include "clock.hpp"
#include "placement.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/** All that a gateway believes of one upstream. */
struct upstream_state {
    upstream_record record;
    /** It gets no new work; running work goes on. */
    bool leaving = false;
    std::optional<time_point> leaves_at;
    bool removed = false; ///< no longer in the directory
    /** One that has started later is at its address. */
    bool superseded = false;
    /** Only its monitor has told of it, and is believed until then. */
    std::optional<time_point> vouched_until;
    /** The directory has dropped it just after an outage of its own. */
    std::optional<time_point> doubted_until;
    std::optional<engine_load> load;
    time_point load_at{};
    /** Requests of this gateway that run there. */
    unsigned own_running = 0;
    /** No connection could be made; it is not tried again before. */
    time_point unreachable_until{};
    double failure_rate = 0;
    time_point failure_at{};

    struct dispatch {
        time_point at;
        std::uint64_t prompt_tokens;
    };
    /** Own dispatches that the latest load can't contain. */
    std::deque<dispatch> unreported;
};

/** What is believed of all upstreams of a service that may get new work. */
struct service_totals {
    std::size_t upstreams = 0;
    double free_slots = 0;
    double free_memory_tokens = 0; ///< of those whose load is known
    double queued = 0;
};

/**
 * The upstreams of all services: who is there, who leaves, and how loaded
 * each is as far as this gateway can know: the latest load that its host sent
 * and own dispatches since. No I/O; one thread.
 *
 * Of upstreams at one address only the one that started last can be there:
 * records of those before it stay in the directory for seconds, or longer
 * after an outage. A gateway that has just started would send each request to
 * four of them, be turned away by their successor and refuse it; after a loss
 * of all gateways 3.8% of a day's worth were refused so.
 */
class upstream_board
{
public:
    struct hooks {
        /** First news that it leaves; the time only if it is known. */
        std::function<void(const std::string& id,
                           std::optional<time_point> leaves_at)>
            leaving;
        /** It has gone, or another process has taken its id. */
        std::function<void(const std::string& id)> gone;
    };

    explicit upstream_board(hooks on) : on_(std::move(on)) {}

    /** `doubt`: the directory was away, and records may have lapsed. */
    void apply(const upstream_change& change, time_point now, bool doubt);
    /** These are all there is. */
    void replace_all(const std::vector<upstream_change>& all, time_point now,
                     bool doubt);
    /** Drops those whose doubt has not been lifted in time, and those that
     * the directory does not list in time. */
    void end_doubts(time_point now);
    /**
     * The monitor beside an address tells who answers there now. An engine
     * that has started again is used at once: the directory lists it seconds
     * later, and its predecessor for as long, to which requests would be sent
     * and turned away. Not one that the directory has dropped.
     */
    void take_identity(const ip_endpoint& address, const std::string& id,
                       time_point now);
    void take_load(const ip_endpoint& address, const engine_load& load,
                   time_point now);

    void dispatched(const std::string& id, std::uint64_t prompt_tokens,
                    time_point now);
    /** Work that will come there soon, beside what runs. */
    void expect(const std::string& id, std::uint64_t prompt_tokens,
                time_point now);
    void settled(const std::string& id);
    void succeeded(const std::string& id, time_point now);
    void failed(const std::string& id, time_point now);
    /** No connection could be made in the time for one. */
    void unreached(const std::string& id, time_point now);
    void reached(const std::string& id);
    /** Another process answers at its address: it is not there until the
     * directory has news of it. */
    void misplaced(const std::string& id);

    const upstream_state* find(const std::string& id) const;
    /** Who is at an address, as far as is known. */
    const upstream_state* find_at(const ip_endpoint& address) const;
    /** Those of a service that may get new work. */
    std::vector<const upstream_state*>
    available(const std::string& service) const;
    /** IP numbers of those of a service at which own requests run. */
    std::set<std::string> hosts_in_use(const std::string& service) const;
    std::size_t size() const { return upstreams_.size(); }
    std::set<std::string> services() const;
    service_totals totals(const std::string& service, time_point now) const;

private:
    void add(const upstream_record& record, time_point now);
    void remove(const std::string& id, time_point now, bool doubt);
    void leave(upstream_state& upstream, std::optional<time_point> leaves_at);
    void drop(const std::string& id);
    void note_dropped(const std::string& id, time_point now);
    void list(upstream_state& upstream);
    void fold_failure(upstream_state& upstream, double sample,
                      time_point now) const;

    hooks on_;
    std::map<std::string, upstream_state> upstreams_;
    /** Who is at an address: of several records the one started last. */
    std::unordered_map<std::string, std::string> by_address_;
    /** Those that the directory has dropped, and until when that is kept. */
    std::unordered_map<std::string, time_point> dropped_;
};

/** Its load is known and not too old to be believed. */
bool has_fresh_load(const upstream_state& upstream, time_point now);

/** What placement needs to know of a request. */
struct placement_request {
    std::uint64_t prompt_tokens = 0;
    std::uint64_t output_tokens = 0; ///< expected
    milliseconds objective{0};
    /** Memory of an engine, as configured; 0: a plain service. */
    std::uint64_t engine_tokens = 0;
    std::string from_domain;
    unsigned gateways = 1; ///< that send to the same upstreams
};

/**
 * Time until the first part of a generation there, as far as the latest load
 * tells; zero for a plain service and where no load is known.
 */
milliseconds first_part_after(const upstream_state& upstream,
                              const placement_request& request, time_point now);

/** An upstream as it would stand with the request. */
placement_candidate placement_of(const upstream_state& upstream,
                                 const placement_request& request,
                                 time_point now);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_BOARD_HPP
