#ifndef CYCLAMENRUN_POISON_GUARD_HPP
#define CYCLAMENRUN_POISON_GUARD_HPP

#include "clock.hpp"
#include "peer_exchange.hpp"
#include "poison_register.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace cyclamenrun
{

/** Whether a request may be sent to an upstream. */
enum class poison_admission : std::uint8_t {
    allowed,
    trial,   ///< once: a poison request is run again, in case it is healthy
    refused, ///< it has crashed upstreams
};

/**
 * A gateway's marks against requests that crash upstreams, shared with the
 * other gateways. Does no I/O.
 */
class poison_guard
{
public:
    struct hooks {
        /** The marks have changed and are to be sent to other gateways. */
        std::function<void()> changed;
        /** A request is refused from now on. */
        std::function<void(std::uint64_t fingerprint)> convicted;
    };

    explicit poison_guard(std::mt19937_64& random);
    void set_hooks(hooks on) { on_ = std::move(on); }

    /** Admits a request before it is sent; a trial begins with this call. */
    poison_admission admit(std::uint64_t fingerprint, time_point now);
    bool is_poison(std::uint64_t fingerprint, time_point now) const;
    /** Time until a poison request is admitted again. */
    milliseconds time_to_trial(std::uint64_t fingerprint, time_point now) const;

    void record_crash(const std::string& upstream, std::uint64_t fingerprint,
                      mark_strength strength, time_point now);
    void record_success(std::uint64_t fingerprint, time_point now);

    /** The marks as a table that gateways share. */
    peer_table table();
    std::size_t size() const { return marks_.size(); }
    std::size_t count_poison(time_point now) const
    {
        return marks_.count_poison(now);
    }

private:
    template <typename Change>
    void apply(std::uint64_t fingerprint, time_point now, Change change);
    void merge(const v1::PeerMessage& message, time_point now);

    poison_register marks_;
    std::mt19937_64& random_;
    hooks on_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_GUARD_HPP
