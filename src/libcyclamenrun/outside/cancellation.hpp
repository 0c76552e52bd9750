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
 * wakes it, and detaches the hook before what the hook touches is gone.
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

    /**
     * Runs `hook` at once if the cancellation came first. The number is for
     * detach(): several calls may wait under one cancellation.
     */
    std::uint64_t attach(std::function<void()> hook);
    /** The hook neither runs nor is running once this has returned. */
    void detach(std::uint64_t attachment);

private:
    mutable std::mutex lock_;
    bool cancelled_ = false;
    std::uint64_t last_attachment_ = 0;
    std::map<std::uint64_t, std::function<void()>> hooks_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CANCELLATION_HPP
