#ifndef CYCLAMENRUN_TICKET_BOOK_HPP
#define CYCLAMENRUN_TICKET_BOOK_HPP

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
 * The tickets that this incarnation of an agent has seen used.
 *
 * A ticket runs one call: its first use is entered here, every later one
 * finds the entry. The entry stays until the ticket has expired, after which
 * each use is refused by its date, so no use can pass for a first one.
 */
class ticket_book
{
public:
    struct use {
        std::uint64_t work = 0;
        std::uint64_t fingerprint = 0;
        time_point expiry;
    };

    ticket_book(std::string link_key, std::string upstream,
                std::uint64_t incarnation, time_point started_at,
                std::size_t capacity);

    /**
     * The earlier use of the dispatch's ticket, nothing if this is the first,
     * or a refusal: not_run for a ticket that could never have run here,
     * outcome_unknown where an earlier use may have.
     */
    outcome<std::optional<use>> check(const link::Dispatch& dispatch,
                                      time_point now) const;

    /** False if the book is full: then the call must not run. */
    bool enter(const link::Dispatch& dispatch, std::uint64_t work,
               time_point now);

    /** The call did not run: its ticket may be used again. */
    void withdraw(const link::Dispatch& dispatch);

    std::size_t size() const { return uses_.size(); }

private:
    time_point expiry_of(const link::Dispatch& dispatch) const;

    ticket_authority authority_;
    std::string upstream_;
    std::uint64_t incarnation_;
    time_point started_at_;
    std::size_t capacity_;
    std::unordered_map<std::uint64_t, use> uses_; // by the ticket's nonce
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_TICKET_BOOK_HPP
