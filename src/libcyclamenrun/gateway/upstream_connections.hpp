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
 * Connections to upstreams that are kept between requests. One that gets
 * bytes while nobody waits for any is closed: they belong to no request, and
 * would be taken for the answer to the next. Kept by the upstream's id, since
 * an address may be used again by another upstream.
 */
class upstream_connections
{
public:
    explicit upstream_connections(std::shared_ptr<link_reactor> reactor)
        : reactor_(std::move(reactor))
    {
    }

    /**
     * A kept connection, or a new one; the caller sets its hooks and owns it
     * from now on. Empty: the address is unusable.
     */
    std::shared_ptr<tcp_connection> take(const upstream_record& upstream,
                                         time_point now);
    /** Always a new connection. */
    std::shared_ptr<tcp_connection>
    open(const upstream_record& upstream,
         const connection_patience& patience = {});
    /** Gives back a connection that has ended its exchange cleanly. */
    void keep(const std::string& upstream_id,
              std::shared_ptr<tcp_connection> connection, time_point until);
    void forget(const std::string& upstream_id);

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

/** Kept connections to one upstream; more are closed. */
inline constexpr std::size_t most_idle_connections = 32;

} // namespace cyclamenrun

#endif // CYCLAMENRUN_UPSTREAM_CONNECTIONS_HPP
