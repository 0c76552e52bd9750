#ifndef CYCLAMENRUN_POISON_REGISTER_HPP
#define CYCLAMENRUN_POISON_REGISTER_HPP

#include "clock.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cyclamenrun::link
{
class PoisonMark;
}

namespace cyclamenrun
{

/** Classification of a request by the losses recorded for it. */
enum class poison_verdict : std::uint8_t {
    clean,
    suspect, ///< one upstream was lost while running it; it is run alone
    poison,  ///< two upstreams were lost while running it; it is refused
};

/**
 * Records, by fingerprint, which requests were running on an upstream when it
 * was lost.
 *
 * Guards against a request that crashes every upstream it runs on and that its
 * caller keeps resending. A loss marks all requests that were running there.
 * Each of them next runs alone, so a second loss identifies the request that
 * caused it, and a request that completes is cleared. Processes exchange marks;
 * a mark carries the id of its loss, so repeated reports of a loss count once.
 */
class poison_register
{
public:
    poison_register(std::size_t capacity, duration mark_lifetime);

    void mark(std::uint64_t fingerprint, std::uint64_t loss, time_point now);
    void clear(std::uint64_t fingerprint, time_point now);
    /**
     * Clears the marks of a loss after the process that was reported lost has
     * responded again.
     */
    void clear_loss(std::uint64_t loss, time_point now);
    void merge(const link::PoisonMark& mark, time_point now);

    poison_verdict verdict(std::uint64_t fingerprint, time_point now) const;

    /** Counts changes; a peer at this version needs only later marks. */
    std::uint64_t version() const { return version_; }
    std::vector<link::PoisonMark> marks_since(std::uint64_t version) const;
    std::size_t size() const { return records_.size(); }

private:
    struct record {
        std::vector<std::uint64_t> active_losses;
        std::vector<std::uint64_t> cleared_losses;
        std::uint64_t changed = 0; ///< version of the last change
        time_point deadline;       ///< when the marks expire
    };

    /** Returns the record, with a new version and lifetime, for a change. */
    record& touch(std::uint64_t fingerprint, time_point now);
    void make_room(time_point now);

    std::size_t capacity_;
    duration mark_lifetime_;
    std::uint64_t version_ = 0;
    std::unordered_map<std::uint64_t, record> records_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_REGISTER_HPP
