#include "identity_checks.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

constexpr milliseconds call_timeout{1000};
constexpr milliseconds first_interval{1000};
constexpr milliseconds max_interval{8000};
/** Time without a check after which the interval is the first one again. */
constexpr milliseconds interval_reset_time{30000};

} // namespace

identity_checks::identity_checks(std::shared_ptr<link_reactor> reactor,
                                 std::shared_ptr<const gateway_dialect> dialect,
                                 hooks on)
    : reactor_(std::move(reactor)), dialect_(std::move(dialect)),
      on_(std::move(on))
{
}

void identity_checks::check(const ip_endpoint& address)
{
    remove_expired();
    const auto key = to_string(address);
    auto& wanted = checks_[key];
    wanted.address = address;
    if (std::exchange(wanted.pending, true))
        return;
    reactor_->post_at(std::max(reactor_->now(), wanted.next_at),
                      [weak = weak_from_this(), key] {
                          if (const auto self = weak.lock())
                              self->run(key);
                      });
}

void identity_checks::remove_expired()
{
    std::erase_if(checks_, [now = reactor_->now()](const auto& entry) {
        const auto& each = entry.second;
        return !each.pending && now >= each.next_at + interval_reset_time;
    });
}

void identity_checks::run(const std::string& key)
{
    auto& checked = checks_.at(key);
    if (!on_.is_contested(checked.address)) {
        checked.pending = false;
        return;
    }
    checked.interval =
        std::clamp(checked.interval * 2, first_interval, max_interval);
    checked.next_at = reactor_->now() + checked.interval;
    const auto targets = on_.targets(checked.address);
    if (targets.empty() || !on_.may_ask(checked.address))
        give_up(key);
    else
        ask(checked, targets[checked.checks++ % targets.size()]);
}

void identity_checks::ask(address_check& checked, const std::string& target)
{
    const auto client = std::make_shared<http_client>(reactor_, checked.address,
                                                      engine_call_limits);
    client->call(dialect_->health_call(target), {},
                 reactor_->now() + call_timeout,
                 [weak = weak_from_this(), key = to_string(checked.address)](
                     const call_outcome& outcome) {
                     if (const auto self = weak.lock())
                         self->handle_reply(key, outcome);
                 });
}

void identity_checks::handle_reply(const std::string& key,
                                   const call_outcome& outcome)
{
    const auto id = outcome ? dialect_->read_identity(*outcome) : std::nullopt;
    if (!id) {
        give_up(key);
        return;
    }
    auto& checked = checks_.at(key);
    checked.pending = false;
    // Copied, since the call may change the table.
    const auto address = checked.address;
    on_.identified(address, *id);
}

void identity_checks::give_up(const std::string& key)
{
    reactor_->post_at(checks_.at(key).next_at, [weak = weak_from_this(), key] {
        const auto self = weak.lock();
        if (!self)
            return;
        auto& checked = self->checks_.at(key);
        checked.pending = false;
        const auto address = checked.address;
        self->on_.unverified(address);
    });
}

} // namespace cyclamenrun
