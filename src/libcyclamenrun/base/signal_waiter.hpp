#ifndef CYCLAMENRUN_SIGNAL_WAITER_HPP
#define CYCLAMENRUN_SIGNAL_WAITER_HPP

namespace cyclamenrun
{

/**
 * Waits synchronously for SIGTERM, SIGINT or SIGHUP, so that neither a
 * shutdown nor a reload runs in a signal handler. Must be constructed before
 * any thread is started, as threads inherit the mask of blocked signals.
 */
class signal_waiter
{
public:
    signal_waiter();
    /** Returns the signal number. SIGHUP requests a reload of the settings. */
    int wait() const;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SIGNAL_WAITER_HPP
