#ifndef CYCLAMENRUN_CONNECTION_GATE_HPP
#define CYCLAMENRUN_CONNECTION_GATE_HPP

#include <functional>

namespace cyclamenrun
{

/**
 * Hooks by which an http_server is told which new connections it may take. A
 * server without them takes all.
 */
struct connection_gate {
    /** While it returns true, new connections wait in the listener's queue. */
    std::function<bool()> must_wait;
    /** Whether a connection may be taken; otherwise it is reset at once. */
    std::function<bool()> may_accept;
    /** Whether the first bytes of a connection may be read; the same. */
    std::function<bool()> may_read;
    /** While it returns true, silent unread connections are closed sooner. */
    std::function<bool()> under_pressure;
    /** Called when a connection was reset since no descriptor was free. */
    std::function<void()> on_exhausted;

    bool present() const { return may_accept != nullptr; }
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CONNECTION_GATE_HPP
