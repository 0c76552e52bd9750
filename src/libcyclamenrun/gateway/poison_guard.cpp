#include "poison_guard.hpp"

#include "digest.hpp"
#include "peers.pb.h"

#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr std::size_t max_records = 4096;
/** As for the marks of entries and agents. */
constexpr milliseconds mark_lifetime{3'600'000};
/** Marks of 30 bytes in one datagram. */
constexpr std::size_t max_marks_sent = 24;

} // namespace

poison_guard::poison_guard(std::mt19937_64& random)
    : marks_(max_records, mark_lifetime), random_(random)
{
}

poison_admission poison_guard::admit(std::uint64_t fingerprint, time_point now)
{
    if (!is_poison(fingerprint, now))
        return poison_admission::allowed;
    if (!marks_.begin_trial(fingerprint, random_() | 1, now))
        return poison_admission::refused;
    if (on_.changed)
        on_.changed();
    return poison_admission::trial;
}

bool poison_guard::is_poison(std::uint64_t fingerprint, time_point now) const
{
    return marks_.verdict(fingerprint, now) == poison_verdict::poison;
}

milliseconds poison_guard::time_to_trial(std::uint64_t fingerprint,
                                         time_point now) const
{
    return time_left(marks_.next_trial(fingerprint), now);
}

template <typename Change>
void poison_guard::apply(std::uint64_t fingerprint, time_point now,
                         Change change)
{
    const bool was_poison = is_poison(fingerprint, now);
    const auto version = marks_.version();
    change();
    if (!was_poison && is_poison(fingerprint, now) && on_.convicted)
        on_.convicted(fingerprint);
    if (marks_.version() != version && on_.changed)
        on_.changed();
}

void poison_guard::record_crash(const std::string& upstream,
                                std::uint64_t fingerprint,
                                mark_strength strength, time_point now)
{
    // An upstream that starts again has a new id, so all gateways report one
    // crash as the same loss.
    apply(fingerprint, now,
          [&] { marks_.mark(fingerprint, hash64(upstream), now, strength); });
}

void poison_guard::record_success(std::uint64_t fingerprint, time_point now)
{
    if (marks_.size() > 0)
        apply(fingerprint, now, [&] { marks_.clear(fingerprint, now); });
}

peer_table poison_guard::table()
{
    peer_table shared;
    shared.version = [this] { return marks_.version(); };
    shared.write = [this](std::uint64_t after, v1::PeerMessage& message,
                          time_point now) {
        auto batch = marks_.oldest_marks_since(after, max_marks_sent, now);
        for (auto& mark : batch.marks)
            *message.add_marks() = std::move(mark);
        return batch.version;
    };
    shared.merge = [this](const v1::PeerMessage& message, time_point now) {
        merge(message, now);
    };
    return shared;
}

void poison_guard::merge(const v1::PeerMessage& message, time_point now)
{
    for (const auto& mark : message.marks()) {
        const bool was_poison = is_poison(mark.fingerprint(), now);
        marks_.merge(mark, now);
        if (!was_poison && is_poison(mark.fingerprint(), now) && on_.convicted)
            on_.convicted(mark.fingerprint());
    }
}

} // namespace cyclamenrun
