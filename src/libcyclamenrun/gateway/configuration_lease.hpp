#ifndef CYCLAMENRUN_CONFIGURATION_LEASE_HPP
#define CYCLAMENRUN_CONFIGURATION_LEASE_HPP

#include "boot_clock.hpp"
#include "clock.hpp"

#include <optional>

namespace cyclamenrun
{

/**
 * How long a process may act on the configuration that it knows. Guards
 * against a key that was taken away while this VM could not hear of it: the
 * lease runs from the moment at which the last call that proved the
 * configuration current was sent, on a clock that counts suspension. Whatever
 * was accepted before that moment is known here, so what is accepted later
 * is at most this old when the lease ends.
 */
class configuration_lease
{
public:
    /** No term: the configuration may be used however old it is. */
    explicit configuration_lease(std::optional<milliseconds> term) : term_(term)
    {
    }

    void renew(boot_time asked)
    {
        if (!proved_ || asked > *proved_)
            proved_ = asked;
    }

    bool valid(boot_time now) const
    {
        if (!proved_)
            return false;
        return !term_ || now < *proved_ + *term_;
    }

    /** Age of the last proof; empty before the first. */
    std::optional<milliseconds> age(boot_time now) const
    {
        if (!proved_)
            return std::nullopt;
        return std::chrono::duration_cast<milliseconds>(now - *proved_);
    }

private:
    std::optional<milliseconds> term_;
    std::optional<boot_time> proved_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONFIGURATION_LEASE_HPP
