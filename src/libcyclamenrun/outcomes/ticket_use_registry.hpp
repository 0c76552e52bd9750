#ifndef CYCLAMENRUN_TICKET_USE_REGISTRY_HPP
#define CYCLAMENRUN_TICKET_USE_REGISTRY_HPP

#include "clock.hpp"
#include "refusal.hpp"
#include "ticket_authority.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace cyclamenrun::link
{
class Dispatch;
}

namespace cyclamenrun
{

/**
 * The tickets used at this incarnation of an agent.
 *
 * A ticket runs one call: its first use is recorded here and every later use
 * finds the record. A record is kept at least until its ticket has expired;
 * from then on a use without a record is refused as expired, so a later use is
 * never mistaken for the first.
 */
class ticket_use_registry
{
public:
    struct use {
        std::uint64_t work = 0;
        std::uint64_t fingerprint = 0;
        time_point expiry;
    };

    ticket_use_registry(std::string link_key, std::string upstream,
                        std::uint64_t incarnation, time_point started_at,
                        std::size_t capacity);

    /**
     * Returns the earlier use of the dispatch's ticket, nullopt if this is the
     * first use, or a refusal: not_run if the ticket can't have run this call,
     * outcome_unknown if an earlier use may have run it.
     */
    outcome<std::optional<use>> check(const link::Dispatch& dispatch,
                                      time_point now) const;

    /** Records a use. Returns false if full: the call must not run then. */
    bool record_use(const link::Dispatch& dispatch, std::uint64_t work,
                    time_point now);

    /** Deletes the use of a call that did not run: the ticket stays valid. */
    void remove_use(const link::Dispatch& dispatch);

    std::size_t size() const { return uses_.size(); }

private:
    time_point expiry_of(const link::Dispatch& dispatch) const;

    ticket_authority authority_;
    std::string upstream_;
    std::uint64_t incarnation_;
    time_point started_at_;
    std::size_t capacity_;
    /** Keyed by the ticket's nonce. */
    std::unordered_map<std::uint64_t, use> uses_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TICKET_USE_REGISTRY_HPP
