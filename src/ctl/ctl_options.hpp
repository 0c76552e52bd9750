#ifndef CYCLAMENRUN_CTL_OPTIONS_HPP
#define CYCLAMENRUN_CTL_OPTIONS_HPP

#include "clock.hpp"
#include "ip_endpoint.hpp"
#include "secret.hpp"

namespace cyclamenrun
{

/** Options of all commands that call an entry. */
struct ctl_options {
    ip_endpoint entry;
    secret key;
    bool json = false;
    time_point deadline; ///< of the whole command
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CTL_OPTIONS_HPP
