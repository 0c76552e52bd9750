#ifndef CYCLAMENRUN_METRICS_LISTENER_HPP
#define CYCLAMENRUN_METRICS_LISTENER_HPP

#include "exported_metrics.hpp"
#include "http_server.hpp"

#include <functional>
#include <memory>

namespace cyclamenrun
{

/** Serves a process's metrics as text on `GET /metrics`. */
class metrics_listener
{
public:
    /** `refresh` updates the gauges; called before each response. */
    metrics_listener(std::shared_ptr<link_reactor> reactor,
                     exported_metrics& metrics, std::function<void()> refresh);

    /**
     * Opens the listener; port 0 disables it. A failure is logged only, since
     * the process can serve requests without metrics.
     */
    void open(const ip_endpoint& address);

    /** Answers one request on the listener. */
    void answer(const caller_request& request, answer_writer& writer) const;

private:
    std::shared_ptr<link_reactor> reactor_;
    exported_metrics& metrics_;
    std::function<void()> refresh_;
    std::shared_ptr<http_server> server_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_METRICS_LISTENER_HPP
