#ifndef CYCLAMENRUN_CTL_OPTIONS_HPP
#define CYCLAMENRUN_CTL_OPTIONS_HPP

#include "clock.hpp"
#include "ip_endpoint.hpp"
#include "secret.hpp"

namespace cyclamenrun
{

/** What all commands that talk to an entry share. */
struct ctl_options {
    ip_endpoint entry;
    secret key;
    bool json = false;
    time_point deadline; ///< of the command as a whole
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CTL_OPTIONS_HPP
