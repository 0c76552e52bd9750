#ifndef CYCLAMENRUN_LINK_WATCHER_HPP
#define CYCLAMENRUN_LINK_WATCHER_HPP

namespace cyclamenrun
{

/** Owner of a socket on a loop; all calls come on the loop's thread. */
class link_watcher
{
public:
    link_watcher() = default;
    link_watcher(const link_watcher&) = delete;
    link_watcher& operator=(const link_watcher&) = delete;
    virtual ~link_watcher() = default;

    virtual void ready(bool readable, bool writable) = 0;
    /** At the end of a turn in which flush_later() was called. */
    virtual void flush() = 0;
    /** The loop is about to end: close now. */
    virtual void loop_stopping() = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_WATCHER_HPP
