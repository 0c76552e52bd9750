#ifndef CYCLAMENRUN_METRICS_LISTENER_HPP
#define CYCLAMENRUN_METRICS_LISTENER_HPP

#include "exported_metrics.hpp"
#include "http_server.hpp"

#include <functional>
#include <memory>

namespace cyclamenrun
{

/** Answers `GET /metrics` with the text of a process's metrics. */
class metrics_listener
{
public:
    /** `refresh` sets the gauges, just before the text is written. */
    metrics_listener(std::shared_ptr<link_reactor> reactor,
                     exported_metrics& metrics, std::function<void()> refresh);

    /**
     * Port 0: there is none. A listener that can't be opened is logged and
     * left out: requests are served without it.
     */
    void open(const ip_endpoint& address);

    /** What a request for the metrics is answered with. */
    void answer(const caller_request& request, answer_writer& writer) const;

private:
    std::shared_ptr<link_reactor> reactor_;
    exported_metrics& metrics_;
    std::function<void()> refresh_;
    std::shared_ptr<http_server> server_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_METRICS_LISTENER_HPP
