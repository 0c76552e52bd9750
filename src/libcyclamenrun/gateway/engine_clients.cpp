#include "engine_clients.hpp"

#include <algorithm>

namespace cyclamenrun
{

std::shared_ptr<http_client>
engine_clients::idle_client(const upstream_record& engine)
{
    auto& callers = clients_[engine.id];
    const auto idle =
        std::find_if(callers.begin(), callers.end(),
                     [](const auto& caller) { return !caller->busy(); });
    if (idle != callers.end())
        return *idle;
    callers.push_back(std::make_shared<http_client>(reactor_, engine.address));
    return callers.back();
}

} // namespace cyclamenrun
