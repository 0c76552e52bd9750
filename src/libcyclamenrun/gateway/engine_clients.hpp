#ifndef CYCLAMENRUN_ENGINE_CLIENTS_HPP
#define CYCLAMENRUN_ENGINE_CLIENTS_HPP

#include "http_client.hpp"
#include "upstream_record.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/**
 * Pool of connections for the gateway's own calls to engines: orders to copy
 * generations, and load queries. An engine replies to an order only after it
 * has executed it, so concurrent orders to one engine need a connection each.
 */
class engine_clients
{
public:
    explicit engine_clients(std::shared_ptr<link_reactor> reactor)
        : reactor_(std::move(reactor))
    {
    }

    /** Returns a connection without a pending call; opens one if needed. */
    std::shared_ptr<http_client> idle_client(const upstream_record& engine);
    /** Removes the connections to an engine. */
    void remove(const std::string& engine_id) { clients_.erase(engine_id); }

private:
    std::shared_ptr<link_reactor> reactor_;
    std::unordered_map<std::string, std::vector<std::shared_ptr<http_client>>>
        clients_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_ENGINE_CLIENTS_HPP
