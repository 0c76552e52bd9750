#ifndef CYCLAMENRUN_BOOT_CLOCK_HPP
#define CYCLAMENRUN_BOOT_CLOCK_HPP

#include <chrono>
#include <ctime>

namespace cyclamenrun
{

/**
 * Time since the VM's boot, including time in suspension. The steady clock
 * does not advance while a VM is suspended, so a lease measured by it would
 * still look valid after the VM resumes.
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
