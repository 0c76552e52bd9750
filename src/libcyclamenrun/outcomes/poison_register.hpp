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

/** What is held against a request. */
enum class poison_verdict : std::uint8_t {
    clean,
    suspect, ///< One upstream was lost while it ran: to be run alone.
    poison,  ///< Two were lost: it is refused.
};

/**
 * Remembers, by fingerprint, which requests ran on an upstream when that was
 * lost.
 *
 * Guards against a request that crashes each upstream which runs it and that
 * its caller sends again. One loss marks all that ran there; each of them is
 * next run alone, so a second loss can only be held against the guilty one,
 * and one that ends well is cleared. Marks are passed on between processes; a
 * mark names its loss, so that several reports of one loss count once.
 */
class poison_register
{
public:
    poison_register(std::size_t capacity, duration mark_life);

    void mark(std::uint64_t fingerprint, std::uint64_t loss, time_point now);
    void clear(std::uint64_t fingerprint, time_point now);
    /** The loss was none: whoever was held to be lost has been heard. */
    void withdraw(std::uint64_t loss, time_point now);
    void merge(const link::PoisonMark& mark, time_point now);

    poison_verdict verdict(std::uint64_t fingerprint, time_point now) const;

    /** Counts changes; a peer that has seen it needs only later marks. */
    std::uint64_t version() const { return version_; }
    std::vector<link::PoisonMark> marks_since(std::uint64_t version) const;
    std::size_t size() const { return records_.size(); }

private:
    struct record {
        std::vector<std::uint64_t> held;
        std::vector<std::uint64_t> cleared;
        std::uint64_t changed = 0;
        time_point deadline;
    };

    record& touch(std::uint64_t fingerprint, time_point now);
    void make_room(time_point now);

    std::size_t capacity_;
    duration mark_life_;
    std::uint64_t version_ = 0;
    std::unordered_map<std::uint64_t, record> records_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_REGISTER_HPP
