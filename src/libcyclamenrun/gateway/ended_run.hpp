#ifndef CYCLAMENRUN_ENDED_RUN_HPP
#define CYCLAMENRUN_ENDED_RUN_HPP

#include "clock.hpp"
#include "crash_detector.hpp"
#include "request_facts.hpp"
#include "upstream_record.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** How it is known that a run does not go on where it was. */
enum class run_end : std::uint8_t {
    process_gone, ///< its host refuses connections
    host_silent,  ///< nothing on its host responds
    stopped,      ///< the upstream has confirmed an order to stop
    not_running,  ///< the upstream has replied that it has no such run
};

std::string_view name_of(run_end how);

/** A load report that an upstream has sent, and how old it may be. */
struct dated_report {
    const engine_load& load;
    /** The report tells the state of this time, or of a later one. */
    time_point as_of;
};

/**
 * A run that has ended at its upstream, or can't be reached there. Whatever
 * continues a run takes this as an argument, since a run whose connection is
 * lost may still go on. It is made from what proves the end only: no reply, a
 * failed call and a report that is older than the loss prove nothing.
 */
class ended_run
{
public:
    /** By a connection that was opened after the loss. */
    static std::optional<ended_run> from_check(upstream_liveness found);
    /** By several such connections, if no other process there responds. */
    static ended_run from_silence() { return ended_run(run_end::host_silent); }
    /**
     * By the reply to an order to stop the run and to copy its memory from
     * `source` to `destination`.
     */
    static std::optional<ended_run>
    from_order(const move_reply& reply, const upstream_record& source,
               const upstream_record& destination);
    /**
     * By the source's own end of the stream after an order to stop whose reply
     * is lost. The run continues at the source only, which knows its state.
     */
    static ended_run from_stream_end(const continuation& kept,
                                     const upstream_record& source);
    /**
     * By a reply that there is no such run. `load`: reported after that reply,
     * or null; it may list the run.
     */
    static std::optional<ended_run> from_denial(const std::string& request_id,
                                                const engine_load* load);
    /** By a report alone, of a run that had begun when it was lost. */
    static std::optional<ended_run> from_report(const std::string& request_id,
                                                const dated_report& report,
                                                time_point lost_at);

    run_end how() const { return how_; }
    /** Set if the run's memory was kept when it was stopped. */
    const std::optional<continuation>& memory() const { return memory_; }
    /** The upstream that can continue from memory(). */
    const std::optional<upstream_record>& holder() const { return holder_; }

private:
    explicit ended_run(run_end how) : how_(how) {}
    ended_run(continuation memory, upstream_record holder);

    run_end how_;
    std::optional<continuation> memory_;
    std::optional<upstream_record> holder_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENDED_RUN_HPP
