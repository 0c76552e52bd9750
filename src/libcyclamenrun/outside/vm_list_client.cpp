#include "vm_list_client.hpp"

#include "http_json.hpp"

#include <Poco/JSON/Array.h>
#include <array>
#include <utility>

namespace cyclamenrun
{
namespace
{

constexpr int ok_status = 200;
constexpr std::array<std::string_view, 2> failure_names{"unavailable",
                                                        "malformed"};

std::optional<vm> vm_of(const Poco::JSON::Object::Ptr& object)
{
    if (!object)
        return {};
    const auto text = [&object](const char* name) {
        return json_string(*object, name).value_or("");
    };
    const auto state = vm_state_of(text("state"));
    vm parsed{text("id"),      text("address"),
              text("region"),  text("failure_domain"),
              text("service"), state.value_or(vm_state::live)};
    if (!state || parsed.id.empty() || parsed.address.empty())
        return {};
    return parsed;
}

std::optional<vm_list> list_of(const std::string& body)
{
    const auto document = parse_json_object(body);
    if (!document)
        return {};
    const auto revision = json_u64(*document, "revision");
    const auto vms = json_array(*document, "vms");
    if (!revision || !vms)
        return {};
    vm_list list{*revision, {}};
    for (std::size_t at = 0; at < vms->size(); ++at) {
        auto parsed = vm_of(vms->getObject(at));
        if (!parsed)
            return {};
        list.vms.push_back(std::move(*parsed));
    }
    return list;
}

} // namespace

std::string_view name_of(vm_list_failure failure)
{
    return failure_names.at(static_cast<std::size_t>(failure));
}

vm_list_client::vm_list_client(std::string address, exchange_limits limits,
                               milliseconds call_timeout, clock_function clock,
                               cancellation* stop)
    : address_(std::move(address)), limits_(std::move(limits)),
      call_timeout_(call_timeout), clock_(std::move(clock)), stop_(stop)
{
}

tl::expected<vm_list, vm_list_failure> vm_list_client::read(std::uint64_t after,
                                                            milliseconds wait)
{
    const auto path = "/v1/vms?after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(wait.count());
    http_exchange exchange(address_, limits_, clock_);
    const auto answer = exchange.run(
        {"GET", path, "", "", {}, clock_() + call_timeout_ + wait}, stop_);
    if (!answer || answer->head.status != ok_status)
        return tl::unexpected(vm_list_failure::unavailable);
    auto list = list_of(answer->body);
    if (!list)
        return tl::unexpected(vm_list_failure::malformed);
    return std::move(*list);
}

} // namespace cyclamenrun
