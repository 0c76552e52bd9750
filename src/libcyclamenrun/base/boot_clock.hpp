#ifndef CYCLAMENRUN_BOOT_CLOCK_HPP
#define CYCLAMENRUN_BOOT_CLOCK_HPP

#include <chrono>
#include <ctime>

namespace cyclamenrun
{

/**
 * Time since the VM's start, suspension included. The steady clock stands
 * still while a VM is suspended, so a lease that is kept by it would look
 * young when the VM wakes; one kept by this clock does not.
 */
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now()
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) +
                          std::chrono::nanoseconds(time.tv_nsec));
    }
};

using boot_time = boot_clock::time_point;

inline boot_time boot_now()
{
    return boot_clock::now();
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_BOOT_CLOCK_HPP
