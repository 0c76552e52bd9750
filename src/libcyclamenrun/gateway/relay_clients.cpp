#include "relay_clients.hpp"

#include "directory.pb.h"
#include "directory_relay.hpp"
#include "log_event.hpp"
#include "message_reader.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** An unreachable or leaving relay is not used for this time. */
constexpr milliseconds avoidance_time{3000};
/** A relay that does not reach the directory is used last for this time. */
constexpr milliseconds demotion_time{1000};
/** Longest time to a monitor's first load report after it was requested. */
constexpr milliseconds first_report_timeout{600};

/**
 * One call sent to a relay. The handler is called once: at the answer, the end
 * of the stream or the deadline, whichever comes first.
 */
struct relayed_call {
    std::shared_ptr<client_stream> stream;
    relay_clients::answer_handler on_answer;

    void finish(const std::optional<v1::DirectoryAnswer>& answer)
    {
        if (const auto handler = std::exchange(on_answer, nullptr))
            handler(answer);
    }
};

} // namespace

relay_clients::relay_clients(std::shared_ptr<link_reactor> reactor,
                             std::string gateway, std::uint16_t port, hooks on)
    : reactor_(std::move(reactor)), gateway_(std::move(gateway)), port_(port),
      on_(std::move(on))
{
}

relay_clients::~relay_clients()
{
    drop_unused({});
}

std::vector<std::string> relay_clients::chosen_hosts()
{
    const auto now = steady_now();
    auto candidates = on_.candidates();
    std::erase_if(candidates, [&](const relay_candidate& candidate) {
        const auto known = relays_.find(candidate.host);
        return known != relays_.end() && known->second.avoid_until > now;
    });
    return choose_relays(candidates, gateway_, relay_count(on_.gateways()));
}

bool relay_clients::awaits_first_report() const
{
    return no_response_since_ &&
           reactor_->awake_now() < *no_response_since_ + first_report_timeout;
}

std::vector<std::string> relay_clients::usable_hosts()
{
    const auto now = steady_now();
    auto chosen = chosen_hosts();
    const bool any_chosen = !chosen.empty();
    std::erase_if(chosen,
                  [&](const std::string& host) { return !on_.responds(host); });
    if (!any_chosen || !chosen.empty())
        no_response_since_.reset();
    else if (!no_response_since_)
        no_response_since_ = reactor_->awake_now();
    std::stable_partition(
        chosen.begin(), chosen.end(), [&](const std::string& host) {
            const auto known = relays_.find(host);
            return known == relays_.end() || known->second.demoted_until <= now;
        });
    drop_unused(chosen);
    return chosen;
}

void relay_clients::drop_unused(const std::vector<std::string>& used)
{
    const auto now = steady_now();
    for (auto known = relays_.begin(); known != relays_.end();) {
        auto& relay = known->second;
        const bool is_used =
            std::find(used.begin(), used.end(), known->first) != used.end();
        // The link closes once its pending calls have been answered.
        if (!is_used)
            relay.link.reset();
        const bool can_remove =
            !is_used && relay.avoid_until <= now && relay.demoted_until <= now;
        known = can_remove ? relays_.erase(known) : std::next(known);
    }
}

void relay_clients::send_call(const std::string& host,
                              const v1::DirectoryCall& call,
                              time_point deadline, answer_handler on_answer)
{
    auto& link = relays_[host].link;
    if (!link)
        link =
            link_client::create(reactor_, Poco::Net::SocketAddress(host, port_),
                                std::string(), directory_link_limits());
    const auto sent_call = std::make_shared<relayed_call>();
    sent_call->on_answer = std::move(on_answer);
    client_handlers handlers;
    handlers.on_frame = [sent_call](const std::string& frame) {
        v1::DirectoryAnswer answer;
        if (read_checked(frame, answer))
            sent_call->finish(answer);
    };
    handlers.on_end = [weak = weak_from_this(), sent_call,
                       host](const stream_end& how) {
        const auto self = weak.lock();
        if (self && sent_call->on_answer)
            self->handle_unreachable(host, how.clean
                                               ? std::string_view("malformed")
                                               : name_of(how.failure));
        sent_call->finish(std::nullopt);
        sent_call->stream.reset();
    };
    sent_call->stream =
        link->open(std::string(directory_path), call.SerializeAsString(),
                   std::move(handlers));
    reactor_->post_timeout(
        reactor_->awake_deadline(deadline),
        [weak = weak_from_this(), weak_call = std::weak_ptr(sent_call), host] {
            const auto pending = weak_call.lock();
            const auto self = weak.lock();
            if (!pending || !pending->on_answer)
                return;
            if (self)
                self->handle_unreachable(host,
                                         name_of(link_failure::timed_out));
            pending->finish(std::nullopt);
            if (pending->stream)
                pending->stream->cancel();
        });
}

void relay_clients::handle_unreachable(const std::string& host,
                                       std::string_view reason)
{
    auto& relay = relays_[host];
    relay.link.reset();
    relay.avoid_until = steady_now() + avoidance_time;
    log_event(log_severity::warning, log_event_name::relay_lost,
              {{log_key::address, host}, {log_key::reason, reason}});
}

void relay_clients::mark_without_directory(const std::string& host)
{
    relays_[host].demoted_until = steady_now() + demotion_time;
}

void relay_clients::mark_leaving(const std::string& host)
{
    relays_[host].avoid_until = steady_now() + avoidance_time;
}

} // namespace cyclamenrun
