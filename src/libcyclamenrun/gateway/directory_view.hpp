#ifndef CYCLAMENRUN_DIRECTORY_VIEW_HPP
#define CYCLAMENRUN_DIRECTORY_VIEW_HPP

#include "boot_clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace cyclamenrun
{

/**
 * How new a gateway's view of the directory is. That a record is absent can be
 * concluded only from a view that is as new as the question: a gateway that was
 * paused or cut off lacks records without knowing it. Does no I/O.
 */
class directory_view
{
public:
    using handler = std::function<void(bool is_confirmed)>;
    using wait_id = std::uint64_t;

    /** `on_asked` is called when somebody waits for a newer view. */
    void set_hook(std::function<void()> on_asked)
    {
        on_asked_ = std::move(on_asked);
    }

    /**
     * All records have been received that the directory held at `as_of`. Calls
     * the handlers that wait for it.
     */
    void confirm(boot_time as_of);
    /** The directory can't be reached: ends all waits, until confirm(). */
    void mark_lost();
    /** Empty before the first confirmation. */
    const std::optional<boot_time>& as_of() const { return as_of_; }

    /**
     * Calls `on_known` once: with true when the view is as new as `asked_at`,
     * or with false when it is given up, at once if too many wait or if the
     * directory can't be reached.
     */
    wait_id wait_for(boot_time asked_at, handler on_known);
    /** Has no effect on a wait that is over. */
    void give_up(wait_id wait);

    std::size_t waits() const { return waits_.size(); }

private:
    struct pending_wait {
        boot_time asked_at;
        handler on_known;
    };

    void end(wait_id wait, bool is_confirmed);

    std::function<void()> on_asked_;
    std::optional<boot_time> as_of_;
    bool is_lost_ = false;
    std::map<wait_id, pending_wait> waits_;
    wait_id last_wait_ = 0;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_DIRECTORY_VIEW_HPP
