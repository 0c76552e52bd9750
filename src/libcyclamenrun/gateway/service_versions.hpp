#ifndef CYCLAMENRUN_SERVICE_VERSIONS_HPP
#define CYCLAMENRUN_SERVICE_VERSIONS_HPP

#include "clock.hpp"

#include <map>
#include <optional>
#include <string>

namespace cyclamenrun
{

/**
 * The software versions that the upstreams of each service have, or had until
 * recently: a stream may outlive the upstreams of its version. Does no I/O.
 */
class service_versions
{
public:
    /** Records that an upstream of this version is listed; empty: unknown. */
    void record(const std::string& service, const std::string& version,
                time_point now);

    /** Records may have been missed before `now`. */
    void restart_watch(time_point now);

    /**
     * The one version that a service has had for this time. Empty if it had
     * several, or if this process has not watched it for so long.
     */
    std::optional<std::string> only_version(const std::string& service,
                                            milliseconds time,
                                            time_point now) const;
    /** True if no upstream of the service has named a version lately. */
    bool names_none(const std::string& service, time_point now) const;

private:
    struct service_history {
        time_point watched_since;
        std::map<std::string, time_point> last_seen; ///< by version
    };

    std::map<std::string, service_history> services_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SERVICE_VERSIONS_HPP
