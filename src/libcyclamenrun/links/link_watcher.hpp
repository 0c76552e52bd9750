#ifndef CYCLAMENRUN_LINK_WATCHER_HPP
#define CYCLAMENRUN_LINK_WATCHER_HPP

namespace cyclamenrun
{

/** Handles the events of one socket on the loop's thread. */
class link_watcher
{
public:
    link_watcher() = default;
    link_watcher(const link_watcher&) = delete;
    link_watcher& operator=(const link_watcher&) = delete;
    virtual ~link_watcher() = default;

    virtual void ready(bool readable, bool writable) = 0;
    /** Called at the end of a loop iteration after a flush_later() call. */
    virtual void flush() = 0;
    /** The loop is about to end; the watcher must close its socket. */
    virtual void loop_stopping() = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_WATCHER_HPP
