#ifndef CYCLAMENRUN_CANCELLATION_HPP
#define CYCLAMENRUN_CANCELLATION_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace cyclamenrun
{

/**
 * Ends blocking calls from another thread. Each call attaches a hook that
 * wakes it, and detaches the hook before destroying the objects it uses.
 */
class cancellation
{
public:
    cancellation() = default;
    cancellation(const cancellation&) = delete;
    cancellation& operator=(const cancellation&) = delete;

    /** Runs all hooks. A cancellation can't be undone. */
    void cancel();
    bool cancelled() const;

    /**
     * Runs `hook` at once if already cancelled. Returns the number to pass to
     * detach(), since several calls may wait under one cancellation.
     */
    std::uint64_t attach(std::function<void()> hook);
    /** Once this has returned, the hook is not running and never runs again. */
    void detach(std::uint64_t attachment);

private:
    mutable std::mutex mutex_;
    bool cancelled_ = false;
    std::uint64_t last_attachment_ = 0;
    std::map<std::uint64_t, std::function<void()>> hooks_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CANCELLATION_HPP
