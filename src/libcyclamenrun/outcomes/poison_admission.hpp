#ifndef CYCLAMENRUN_POISON_ADMISSION_HPP
#define CYCLAMENRUN_POISON_ADMISSION_HPP

#include "clock.hpp"
#include "poison_register.hpp"
#include "suspected_work.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun
{

/** Whether a request may be sent to an upstream. */
enum class poison_admission : std::uint8_t {
    allowed,
    solo,    ///< alone: upstreams were lost under it or a part of its prompt
    trial,   ///< once: a poison request is run again, in case it is healthy
    wait,    ///< another run of what is suspected has to end first
    refused, ///< it has crashed upstreams
};

/** True if the request may be sent now. */
inline bool may_run(poison_admission admission)
{
    return admission == poison_admission::allowed ||
           admission == poison_admission::solo ||
           admission == poison_admission::trial;
}

/** A request's claim to run alone; without an id it has none. */
struct solo_run {
    std::uint64_t id = 0;
    time_point confirmed_at; ///< others have heard of the claim by then
    bool has_waited = false; ///< for a claim of others, as others may have
    bool is_trial = false;
    /**
     * The run is to find out whether these parts, of which one is convicted,
     * are deadly: the others are not accused if it is lost. Empty: it is not.
     */
    std::vector<std::uint64_t> tested_parts;
    /** The whole request is suspected, not just a part of its prompt. */
    bool whole_request = false;
};

/** How a process claims solo runs. */
struct claim_terms {
    std::uint64_t id = 0; ///< of a new claim; random, not 0
    /** Time in which other processes hear of a claim. */
    milliseconds news_time{0};
};

/**
 * Admits a request before each send, whatever it is sent for. Takes or keeps
 * the claim of a request that is to run alone. One that has to wait is to be
 * admitted again after `poison_wait`.
 */
poison_admission admit_send(poison_register& marks, const suspected_work& work,
                            solo_run& claim, const claim_terms& terms,
                            time_point now);

/** The work that a run is held against, if its upstream has crashed. */
suspected_work accused_work(const suspected_work& work, const solo_run& claim);

/** Releases the claim of a request whose send has ended. */
void end_solo(poison_register& marks, solo_run& claim);

/** Says why a request is refused, for its caller. */
std::string describe(const poison_grounds& why);

/** Time after which a request that has to wait is admitted again. */
inline constexpr milliseconds poison_wait{50};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_ADMISSION_HPP
