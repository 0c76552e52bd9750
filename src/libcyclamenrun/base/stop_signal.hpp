#ifndef CYCLAMENRUN_STOP_SIGNAL_HPP
#define CYCLAMENRUN_STOP_SIGNAL_HPP

namespace cyclamenrun
{

/**
 * Waits synchronously for SIGTERM, SIGINT or SIGHUP, so that neither a
 * shutdown nor a reload runs in a signal handler. Must be constructed before
 * any thread is started, as threads inherit the mask of blocked signals.
 */
class stop_signal
{
public:
    stop_signal();
    /** Returns the signal number. SIGHUP requests a reload of the settings. */
    int wait() const;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_STOP_SIGNAL_HPP
