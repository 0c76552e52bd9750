#ifndef CYCLAMENRUN_STOP_SIGNAL_HPP
#define CYCLAMENRUN_STOP_SIGNAL_HPP

namespace cyclamenrun
{

/**
 * Waits for SIGTERM, SIGINT or SIGHUP on a thread of the program's choice, so
 * that a planned stop runs as ordinary code. To be made before any other
 * thread, since threads inherit which signals are blocked.
 */
class stop_signal
{
public:
    stop_signal();
    /** Returns the signal's number; SIGHUP asks to read the settings again. */
    int wait() const;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_STOP_SIGNAL_HPP
