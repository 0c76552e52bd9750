#ifndef CYCLAMENRUN_MARK_KEEPER_HPP
#define CYCLAMENRUN_MARK_KEEPER_HPP

#include "link_reactor.hpp"
#include "mark_log.hpp"
#include "poison_guard.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * Keeps a gateway's poison marks in the platform's store, so that they outlast
 * the end of all gateways. Reads them once, when the process starts, and writes
 * what this gateway has changed itself; other gateways' changes are written by
 * them. No request waits for a write. Used on the reactor's thread only.
 *
 * A write that is not acknowledged is repeated, less and less often. One
 * without an answer may still be executed, seconds later and over a newer one,
 * so its records are written once more after that time.
 */
class mark_keeper : public std::enable_shared_from_this<mark_keeper>
{
public:
    struct hooks {
        /** Number of gateways, which share the store's rate of calls. */
        std::function<std::size_t()> gateways;
        /** A write has ended. */
        std::function<void(bool acknowledged)> written;
        /** Marks were read, so many records of them readable. */
        std::function<void(std::size_t readable, std::size_t unreadable)> read;
    };

    mark_keeper(std::shared_ptr<link_reactor> reactor,
                std::shared_ptr<mark_log> log, poison_guard& marks,
                std::mt19937_64& random, hooks on);

    void start();
    /** These marks were changed here. */
    void record_change(const std::vector<mark_key>& changed);
    /** Removes expired marks; to be called each tenth of a second or so. */
    void tick(time_point now);
    /**
     * False while the marks that were kept before this process started may
     * still arrive: nothing may be sent to an upstream yet.
     */
    bool may_send(time_point now) const { return known_ || now >= known_by_; }

private:
    void read();
    void handle_records(const std::vector<kept_record>& records);
    /** Nothing is written before the kept marks are known. */
    void schedule_write(milliseconds delay);
    void write();
    void handle_written(const std::vector<mark_key>& keys,
                        const std::vector<kept_record>& records,
                        bool acknowledged);
    milliseconds write_interval() const;

    std::shared_ptr<link_reactor> reactor_;
    std::shared_ptr<mark_log> log_;
    poison_guard& marks_;
    std::mt19937_64& random_;
    hooks on_;
    bool known_ = false;
    time_point known_by_{};
    time_point next_expiry_check_{};
    std::set<mark_key> changed_; ///< and not written since
    std::set<mark_key> kept_;    ///< of which the store may have a record
    bool write_pending_ = false; ///< scheduled or under way
    milliseconds retry_delay_{0};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_MARK_KEEPER_HPP
