#ifndef CYCLAMENRUN_VM_LIST_WATCHER_HPP
#define CYCLAMENRUN_VM_LIST_WATCHER_HPP

#include "cancellation.hpp"
#include "clock.hpp"
#include "vm_list_client.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace cyclamenrun
{

/**
 * Watches the platform's list of VMs on its own thread and passes each new list
 * to a hook. A request is answered when the list changes or after 10 s, so few
 * requests are sent while nothing changes. While the list is unavailable, the
 * last one stays valid.
 */
class vm_list_watcher
{
public:
    using list_hook = std::function<void(const vm_list& list)>;

    vm_list_watcher(const std::string& address, list_hook on_list,
                    clock_function clock);
    vm_list_watcher(const vm_list_watcher&) = delete;
    vm_list_watcher& operator=(const vm_list_watcher&) = delete;
    ~vm_list_watcher();

    void stop();

private:
    void run();
    bool wait_for_stop(milliseconds timeout);

    list_hook on_list_;
    cancellation cancel_;
    vm_list_client client_;
    std::mutex mutex_;
    std::condition_variable stopped_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_VM_LIST_WATCHER_HPP
