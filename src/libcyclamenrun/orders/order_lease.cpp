#include "order_lease.hpp"

#include <array>

namespace cyclamenrun
{

namespace
{

constexpr std::array<std::string_view, 5> step_names{
    "read_claim", "append_claim", "wait", "act", "stood_down"};

} // namespace

std::string_view name_of(lease_step step)
{
    return step_names.at(static_cast<std::size_t>(step));
}

order_lease::order_lease(std::string upstream, std::uint64_t incarnation,
                         order_lease_settings settings)
    : upstream_(std::move(upstream)), incarnation_(incarnation),
      settings_(settings)
{
}

lease_step order_lease::next(time_point now) const
{
    if (phase_ == phase::superseded)
        return lease_step::stood_down;
    if (now < wake_at_)
        return lease_step::wait;
    if (phase_ == phase::unread || phase_ == phase::sent)
        return lease_step::read_claim;
    if (phase_ == phase::unclaimed)
        return lease_step::append_claim;
    if (!exclusive_)
        return lease_step::read_claim;
    return has_time_for_order(now) ? lease_step::act : lease_step::append_claim;
}

v1::ClaimRecord order_lease::claim() const
{
    v1::ClaimRecord claim;
    claim.set_upstream(upstream_);
    claim.set_incarnation(incarnation_);
    claim.set_base_fencing_number(base_number_);
    return claim;
}

void order_lease::on_claim_sent(time_point now)
{
    // The log accepts only the first of several copies of a claim, so the lease
    // counts from when the first copy was sent.
    if (!first_sent_at_)
        first_sent_at_ = now;
    phase_ = phase::sent;
    wake_at_ = now;
}

void order_lease::on_claim_failed(time_point now)
{
    wake_at_ = now + settings_.retry_after;
}

void order_lease::on_claim_read(const std::optional<v1::ClaimState>& current,
                                time_point read_started_at, time_point now)
{
    if (phase_ == phase::superseded)
        return;
    const std::uint64_t number = current ? current->fencing_number() : 0;
    if (!current && held_number_ != 0)
        reset_claim();
    if (current && current->incarnation() == incarnation_)
        handle_own_claim(number, read_started_at, now);
    else
        handle_other_claim(number);
    if (wake_at_ < now)
        wake_at_ = now;
}

void order_lease::handle_own_claim(std::uint64_t number,
                                   time_point read_started_at, time_point now)
{
    if (number != held_number_) {
        held_number_ = number;
        base_number_ = number;
        lease_end_ = first_sent_at_.value_or(now) + settings_.lease;
        first_sent_at_.reset();
        // Any earlier claimant sent its claim before this claim was on the log,
        // so its lease ends within one lease duration from now.
        if (!exclusive_ && exclusive_from_ == time_point::max())
            exclusive_from_ = settings_.engine_honours_fencing
                                  ? read_started_at
                                  : now + settings_.lease + settings_.margin;
    } else if (phase_ == phase::sent) {
        // The renewal is not on the log, so it is sent again.
        phase_ = phase::unclaimed;
        return;
    }
    phase_ = phase::held;
    // Reads the claim again after the wait, since another agent may have taken
    // over meanwhile. A later claimant waits for the lease of this claim, but
    // this agent does not wait for the lease of a later claimant.
    exclusive_ = exclusive_ || read_started_at >= exclusive_from_;
    if (!exclusive_)
        wake_at_ = exclusive_from_;
}

void order_lease::handle_other_claim(std::uint64_t number)
{
    if (held_number_ != 0) {
        phase_ = phase::superseded;
        return;
    }
    // No claim of this agent with the old base number took effect, nor can one
    // do so any more.
    if (number != base_number_)
        first_sent_at_.reset();
    base_number_ = number;
    phase_ = phase::unclaimed;
}

void order_lease::reset_claim()
{
    // The log's state keeps a bounded number of claims and drops claims that
    // were not renewed for long. The agent then claims like a new claimant.
    held_number_ = 0;
    base_number_ = 0;
    lease_end_ = time_point::min();
    exclusive_ = false;
    exclusive_from_ = time_point::max();
}

bool order_lease::may_send_order(time_point now) const
{
    return phase_ == phase::held && exclusive_ && has_time_for_order(now);
}

bool order_lease::has_time_for_order(time_point now) const
{
    return now + settings_.order_limit <= lease_end_;
}

} // namespace cyclamenrun
