#ifndef CYCLAMENRUN_SOCKET_EVENT_HANDLER_HPP
#define CYCLAMENRUN_SOCKET_EVENT_HANDLER_HPP

namespace cyclamenrun
{

/** Handles the events of one socket; called on the loop's thread. */
class socket_event_handler
{
public:
    socket_event_handler() = default;
    socket_event_handler(const socket_event_handler&) = delete;
    socket_event_handler& operator=(const socket_event_handler&) = delete;
    virtual ~socket_event_handler() = default;

    /** Called when the socket is ready; after an error both are true. */
    virtual void ready(bool readable, bool writable) = 0;
    /** Called at the end of a loop iteration after a flush_later() call. */
    virtual void flush() = 0;
    /** Called when the loop is about to end; must close the socket. */
    virtual void loop_stopping() = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SOCKET_EVENT_HANDLER_HPP
