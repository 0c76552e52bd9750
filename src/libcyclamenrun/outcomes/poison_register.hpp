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

/** How likely a request is the cause of a loss. */
enum class mark_strength : std::uint8_t {
    weak, ///< it had run for a while; counts half
    strong,
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

    void mark(std::uint64_t fingerprint, std::uint64_t loss, time_point now,
              mark_strength strength = mark_strength::strong);
    void clear(std::uint64_t fingerprint, time_point now);
    /**
     * Clears the marks of a loss after the process that was reported lost has
     * responded again.
     */
    void clear_loss(std::uint64_t loss, time_point now);
    void merge(const link::PoisonMark& mark, time_point now);

    poison_verdict verdict(std::uint64_t fingerprint, time_point now) const;

    /**
     * Lets a poison request run once, some time after its last loss, so that a
     * healthy one is not refused for the whole lifetime of its marks. Returns
     * true if the caller may run it. The time grows with each loss, and after
     * two trials there are no more.
     */
    bool begin_trial(std::uint64_t fingerprint, std::uint64_t trial,
                     time_point now);
    /** When the next trial may begin, or the marks expire. */
    time_point next_trial(std::uint64_t fingerprint) const;

    /** Counts changes; a peer at this version needs only later marks. */
    std::uint64_t version() const { return version_; }
    std::vector<link::PoisonMark> marks_since(std::uint64_t version) const;
    /** Marks in the order of their changes. */
    struct mark_batch {
        std::vector<link::PoisonMark> marks;
        std::uint64_t version = 0; ///< that the marks reach
    };
    /** Returns the oldest marks since a version, of a few whole records. */
    mark_batch oldest_marks_since(std::uint64_t version, std::size_t max_marks,
                                  time_point now) const;
    std::size_t size() const { return records_.size(); }
    /** Number of requests that are refused. */
    std::size_t count_poison(time_point now) const;

private:
    struct loss_mark {
        std::uint64_t loss = 0;
        mark_strength strength = mark_strength::strong;
    };
    struct record {
        std::vector<loss_mark> active_losses;
        std::vector<std::uint64_t> cleared_losses;
        std::uint64_t trial = 0; ///< id of the last trial; 0: none
        time_point trial_at;
        std::uint64_t changed = 0; ///< version of the last change
        time_point lost_at;        ///< last loss
        time_point deadline;       ///< when the marks expire
    };

    static unsigned weight(const record& marked);
    /**
     * Returns the record, with a new version and lifetime, for a change that
     * was made at that time.
     */
    record& touch(std::uint64_t fingerprint, time_point now,
                  time_point changed_at);
    void add_loss(std::uint64_t fingerprint, const loss_mark& added,
                  time_point now, time_point lost_at);
    void merge_trial(const link::PoisonMark& mark, time_point now,
                     time_point trial_at);
    void append_marks(std::uint64_t fingerprint, const record& known,
                      time_point now,
                      std::vector<link::PoisonMark>& marks) const;
    void make_room(time_point now);

    std::size_t capacity_;
    duration mark_lifetime_;
    std::uint64_t version_ = 0;
    std::unordered_map<std::uint64_t, record> records_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_REGISTER_HPP
