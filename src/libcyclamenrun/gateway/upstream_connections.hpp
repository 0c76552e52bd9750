#ifndef CYCLAMENRUN_UPSTREAM_CONNECTIONS_HPP
#define CYCLAMENRUN_UPSTREAM_CONNECTIONS_HPP

#include "link_reactor.hpp"
#include "tcp_connection.hpp"
#include "upstream_record.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenrun
{

/**
 * Pool of idle connections to upstreams. A connection that receives bytes while
 * it is idle is closed, since they would be read as the response to the next
 * request. The pool is keyed by the upstream's id, since another upstream may
 * reuse an address.
 */
class upstream_connections
{
public:
    explicit upstream_connections(std::shared_ptr<link_reactor> reactor)
        : reactor_(std::move(reactor))
    {
    }

    /**
     * Returns an idle or a new connection, which the caller then owns and sets
     * hooks for. Returns null if the address is unusable.
     */
    std::shared_ptr<tcp_connection> acquire(const upstream_record& upstream,
                                            time_point now);
    /** Opens a new connection. */
    std::shared_ptr<tcp_connection>
    open(const upstream_record& upstream,
         const connection_timeouts& timeouts = {});
    /**
     * Adds a connection without pending data to the pool; it is not reused
     * after `until`.
     */
    void keep(const std::string& upstream_id,
              std::shared_ptr<tcp_connection> connection, time_point until);
    /** Closes the idle connections to an upstream. */
    void remove(const std::string& upstream_id);

    std::size_t size() const;

private:
    struct idle_connection {
        std::shared_ptr<tcp_connection> connection;
        time_point until;
    };
    using idle_connections = std::vector<idle_connection>;

    std::shared_ptr<link_reactor> reactor_;
    std::unordered_map<std::string, idle_connections> idle_;
};

/** Bounds the idle connections to one upstream; further ones are closed. */
inline constexpr std::size_t max_idle_connections = 32;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_CONNECTIONS_HPP
