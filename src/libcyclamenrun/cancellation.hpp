#ifndef CYCLAMENRUN_CANCELLATION_HPP
#define CYCLAMENRUN_CANCELLATION_HPP

#include <functional>
#include <mutex>

namespace cyclamenrun
{

/**
 * Ends a blocking call from another thread. The call attaches a hook that
 * wakes it and detaches the hook before what the hook touches is gone.
 */
class cancellation
{
public:
    cancellation() = default;
    cancellation(const cancellation&) = delete;
    cancellation& operator=(const cancellation&) = delete;

    /** Final: a cancelled call stays cancelled. */
    void cancel();
    bool cancelled() const;

    /** Runs `hook` at once if the cancellation came first. */
    void attach(std::function<void()> hook);
    /** The hook neither runs nor is running once this has returned. */
    void detach();

private:
    mutable std::mutex lock_;
    bool cancelled_ = false;
    std::function<void()> hook_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CANCELLATION_HPP
