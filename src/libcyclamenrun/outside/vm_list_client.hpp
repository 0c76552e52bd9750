#ifndef CYCLAMENRUN_VM_LIST_CLIENT_HPP
#define CYCLAMENRUN_VM_LIST_CLIENT_HPP

#include "clock.hpp"
#include "http_exchange.hpp"
#include "vm_list.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace cyclamenrun
{

class cancellation;

enum class vm_list_failure : std::uint8_t { unavailable, malformed };

std::string_view name_of(vm_list_failure failure);

/** Reads the platform's list of VMs over HTTP. */
class vm_list_client
{
public:
    /**
     * `call_timeout` is the timeout of each call; read() adds its `wait`.
     * `stop` ends calls that are in progress.
     */
    vm_list_client(std::string address, exchange_limits limits,
                   milliseconds call_timeout, clock_function clock,
                   cancellation* stop = nullptr);

    /**
     * Returns the list as soon as its revision is above `after`, or the current
     * list after `wait`. With `after` 0 the list is returned at once.
     */
    tl::expected<vm_list, vm_list_failure> read(std::uint64_t after,
                                                milliseconds wait);

private:
    std::string address_;
    exchange_limits limits_;
    milliseconds call_timeout_;
    clock_function clock_;
    cancellation* stop_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_VM_LIST_CLIENT_HPP
