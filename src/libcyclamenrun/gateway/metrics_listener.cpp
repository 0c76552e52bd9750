#include "metrics_listener.hpp"

#include "daemon_main.hpp"
#include "log_event.hpp"

#include <Poco/Exception.h>
#include <utility>

namespace cyclamenrun
{

metrics_listener::metrics_listener(std::shared_ptr<link_reactor> reactor,
                                   exported_metrics& metrics,
                                   std::function<void()> refresh)
    : reactor_(std::move(reactor)), metrics_(metrics),
      refresh_(std::move(refresh))
{
}

void metrics_listener::open(const ip_endpoint& address)
{
    if (address.port == 0)
        return;
    session_hooks hooks;
    hooks.serve = [this](const caller_request& request,
                         const std::shared_ptr<answer_writer>& writer) {
        answer(request, *writer);
        return session_hooks::disconnect_handler();
    };
    hooks.limits = [] { return session_limits(); };
    try {
        server_ =
            std::make_shared<http_server>(reactor_, address, std::move(hooks));
    } catch (const Poco::Exception& error) {
        log_event(log_severity::error, log_event_name::listener_failed,
                  {{log_key::name, "metrics"},
                   {log_key::address, to_string(address)},
                   {log_key::detail, error.displayText()}});
        return;
    }
    server_->start();
    announce_listener("metrics", to_string(server_->address()));
}

void metrics_listener::answer(const caller_request& request,
                              answer_writer& writer) const
{
    http_head head;
    if (request.head.target != "/metrics") {
        head.status = 404;
        writer.write_whole(std::move(head), "");
        return;
    }
    refresh_();
    head.status = 200;
    head.fields.push_back({"Content-Type", "text/plain; version=0.0.4"});
    writer.write_whole(std::move(head), metrics_.text());
}

} // namespace cyclamenrun
