#include "directory_relays.hpp"

#include "directory.pb.h"
#include "directory_relay.hpp"
#include "log_event.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** An unreachable relay is not used for this time. */
constexpr milliseconds avoid_time{3000};
/** A relay that does not reach the directory is used last for this time. */
constexpr milliseconds last_time{1000};
/** Longest time to a monitor's first report after it was requested. */
constexpr milliseconds hearing_time{600};

/** One call sent to a relay. Only its first end is reported. */
struct relayed_call {
    std::shared_ptr<client_stream> stream;
    directory_relays::answered on_answer;

    void end(const std::optional<v1::DirectoryAnswer>& answer)
    {
        if (const auto tell = std::exchange(on_answer, nullptr))
            tell(answer);
    }
};

} // namespace

directory_relays::directory_relays(std::shared_ptr<link_reactor> reactor,
                                   std::string gateway, std::uint16_t port,
                                   hooks on)
    : reactor_(std::move(reactor)), gateway_(std::move(gateway)), port_(port),
      on_(std::move(on))
{
}

directory_relays::~directory_relays()
{
    drop_unused({});
}

std::vector<std::string> directory_relays::wanted()
{
    const auto now = steady_now();
    auto candidates = on_.candidates();
    std::erase_if(candidates, [&](const relay_candidate& candidate) {
        const auto known = relays_.find(candidate.host);
        return known != relays_.end() && known->second.avoid_until > now;
    });
    return choose_relays(candidates, gateway_, relay_count(on_.gateways()));
}

bool directory_relays::expected() const
{
    return unheard_since_ && steady_now() < *unheard_since_ + hearing_time;
}

std::vector<std::string> directory_relays::hosts()
{
    const auto now = steady_now();
    auto chosen = wanted();
    const bool any = !chosen.empty();
    std::erase_if(chosen,
                  [&](const std::string& host) { return !on_.heard(host); });
    if (!any || !chosen.empty())
        unheard_since_.reset();
    else if (!unheard_since_)
        unheard_since_ = now;
    std::stable_partition(
        chosen.begin(), chosen.end(), [&](const std::string& host) {
            const auto known = relays_.find(host);
            return known == relays_.end() || known->second.last_until <= now;
        });
    drop_unused(chosen);
    return chosen;
}

void directory_relays::drop_unused(const std::vector<std::string>& used)
{
    const auto now = steady_now();
    for (auto known = relays_.begin(); known != relays_.end();) {
        auto& relay = known->second;
        const bool is_used =
            std::find(used.begin(), used.end(), known->first) != used.end();
        // The link closes once its pending calls have been answered.
        if (!is_used)
            relay.link.reset();
        const bool forgettable =
            !is_used && relay.avoid_until <= now && relay.last_until <= now;
        known = forgettable ? relays_.erase(known) : std::next(known);
    }
}

void directory_relays::ask(const std::string& host,
                           const v1::DirectoryCall& call, time_point deadline,
                           answered on_answer)
{
    auto& link = relays_[host].link;
    if (!link)
        link =
            link_client::create(reactor_, Poco::Net::SocketAddress(host, port_),
                                std::string(), directory_link_limits());
    const auto asked = std::make_shared<relayed_call>();
    asked->on_answer = std::move(on_answer);
    client_handlers handlers;
    handlers.on_frame = [asked](const std::string& frame) {
        v1::DirectoryAnswer answer;
        if (answer.ParseFromString(frame))
            asked->end(answer);
    };
    handlers.on_end = [weak = weak_from_this(), asked,
                       host](const stream_end& how) {
        const auto self = weak.lock();
        if (self && asked->on_answer)
            self->unreachable(host, how.clean ? std::string_view("malformed")
                                              : name_of(how.failure));
        asked->end(std::nullopt);
        asked->stream.reset();
    };
    asked->stream = link->open(std::string(directory_path),
                               call.SerializeAsString(), std::move(handlers));
    reactor_->post_at(
        deadline, [weak = weak_from_this(), late = std::weak_ptr(asked), host] {
            const auto waiting = late.lock();
            const auto self = weak.lock();
            if (!waiting || !waiting->on_answer)
                return;
            if (self)
                self->unreachable(host, name_of(link_failure::timed_out));
            waiting->end(std::nullopt);
            if (waiting->stream)
                waiting->stream->cancel();
        });
}

void directory_relays::unreachable(const std::string& host,
                                   std::string_view reason)
{
    auto& relay = relays_[host];
    relay.link.reset();
    relay.avoid_until = steady_now() + avoid_time;
    log_event(log_severity::warning, log_event_name::relay_lost,
              {{log_key::address, host}, {log_key::reason, reason}});
}

void directory_relays::without_directory(const std::string& host)
{
    relays_[host].last_until = steady_now() + last_time;
}

void directory_relays::leaves(const std::string& host)
{
    relays_[host].avoid_until = steady_now() + avoid_time;
}

} // namespace cyclamenrun
