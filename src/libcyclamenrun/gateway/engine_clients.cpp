#include "engine_clients.hpp"

#include <algorithm>

namespace cyclamenrun
{

std::shared_ptr<http_client>
engine_clients::idle_client(const upstream_record& engine)
{
    auto& clients = clients_[engine.id];
    const auto idle =
        std::find_if(clients.begin(), clients.end(),
                     [](const auto& client) { return !client->busy(); });
    if (idle != clients.end())
        return *idle;
    clients.push_back(std::make_shared<http_client>(reactor_, engine.address,
                                                    engine_call_limits));
    return clients.back();
}

} // namespace cyclamenrun
