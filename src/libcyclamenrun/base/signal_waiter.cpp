#include "signal_waiter.hpp"

#include <csignal>

namespace cyclamenrun
{

namespace
{

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

signal_waiter::signal_waiter()
{
    const auto signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A write to a disconnected peer returns an error and raises no signal.
    std::signal(SIGPIPE, SIG_IGN);
}

int signal_waiter::wait() const
{
    const auto signals = handled_signals();
    int signal = 0;
    while (sigwait(&signals, &signal) != 0) {
    }
    return signal;
}

} // namespace cyclamenrun
