#include "process_watch.hpp"

namespace cyclamenrun
{

namespace
{

/** A process takes longer to end and to be replaced. */
constexpr milliseconds confirmation_lifetime{400};

} // namespace

void process_watch::record_report(std::int64_t started_ms, time_point earliest)
{
    // An earlier start is that of a predecessor, whose report came late.
    if (listed_ == 0 || started_ms < listed_)
        return;
    has_successor_ = has_successor_ || started_ms > listed_;
    if (lost_at_ && earliest <= *lost_at_)
        return;
    lost_at_.reset();
    crashed_ = false;
    confirmed_at_ = earliest;
}

void process_watch::record_crash(time_point now)
{
    lost_at_ = now;
    crashed_ = true;
}

process_standing process_watch::standing(time_point now) const
{
    if (listed_ == 0)
        return process_standing::confirmed;
    if (has_successor_ || crashed_)
        return process_standing::ended;
    if (lost_at_)
        return confirmed_at_ ? process_standing::doubted
                             : process_standing::presumed;
    const bool is_recent =
        confirmed_at_ && now < *confirmed_at_ + confirmation_lifetime;
    return is_recent ? process_standing::confirmed : process_standing::presumed;
}

} // namespace cyclamenrun
