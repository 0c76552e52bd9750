#ifndef CYCLAMENRUN_CONFIGURATION_LEASE_HPP
#define CYCLAMENRUN_CONFIGURATION_LEASE_HPP

#include "boot_clock.hpp"
#include "clock.hpp"

#include <optional>

namespace cyclamenrun
{

/**
 * Limits how long a process may act on its last known configuration.
 *
 * Guards against a key that is revoked while this VM is cut off from the
 * directory. The lease runs from the time at which the last call that confirmed
 * the configuration was sent, on a clock that also advances while the VM is
 * suspended. Every change accepted before that time is known here, so a change
 * accepted later has been in force for at most one term when the lease ends.
 */
class configuration_lease
{
public:
    /** Without a term the configuration may be used at any age. */
    explicit configuration_lease(std::optional<milliseconds> term) : term_(term)
    {
    }

    /** `sent_at`: when the call that confirmed the configuration was sent. */
    void renew(boot_time sent_at)
    {
        if (!confirmed_at_ || sent_at > *confirmed_at_)
            confirmed_at_ = sent_at;
    }

    bool valid(boot_time now) const
    {
        if (!confirmed_at_)
            return false;
        return !term_ || now < *confirmed_at_ + *term_;
    }

    /** Time since the last confirming call was sent; empty before the first. */
    std::optional<milliseconds> age(boot_time now) const
    {
        if (!confirmed_at_)
            return std::nullopt;
        return std::chrono::duration_cast<milliseconds>(now - *confirmed_at_);
    }

private:
    std::optional<milliseconds> term_;
    std::optional<boot_time> confirmed_at_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_LEASE_HPP
