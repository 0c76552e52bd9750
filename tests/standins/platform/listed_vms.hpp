#ifndef CYCLAMENRUN_TESTS_LISTED_VMS_HPP
#define CYCLAMENRUN_TESTS_LISTED_VMS_HPP

#include "vm_list.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace cyclamenrun::stand_in
{

/** The platform's list of VMs. Readers see each change after a lag. */
class listed_vms
{
public:
    explicit listed_vms(std::chrono::milliseconds lag);

    /** Adds a VM, or replaces the one with the same id. */
    void put(vm added);
    void remove(const std::string& id);
    /** Waits up to `wait` for a revision above `after`; returns the list. */
    vm_list read(std::uint64_t after, std::chrono::milliseconds wait);
    /** Ends all waits in read(). */
    void stop();

private:
    using clock = std::chrono::steady_clock;
    struct version {
        clock::time_point visible; ///< time from which readers see it
        vm_list list;
    };

    void publish(vm_list next);
    /** Drops the versions that a visible one has replaced. */
    void drop_old();

    const std::chrono::milliseconds lag_;
    std::mutex lock_;
    std::condition_variable changed_;
    std::deque<version> versions_; ///< readers see the first
    bool stopping_ = false;
};

} // namespace cyclamenrun::stand_in

#endif // CYCLAMENRUN_TESTS_LISTED_VMS_HPP
