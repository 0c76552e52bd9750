#ifndef CYCLAMENRUN_REQUEST_DEADLINE_LISTENER_HPP
#define CYCLAMENRUN_REQUEST_DEADLINE_LISTENER_HPP

#include "clock.hpp"
#include "ip_endpoint.hpp"

#include <Poco/Net/ServerSocket.h>

namespace cyclamenrun
{

/**
 * Listens on `address` for HTTP clients. Each accepted connection is a
 * request_deadline_socket. Throws Poco::Exception on failure.
 */
Poco::Net::ServerSocket listen_with_deadline(const ip_endpoint& address,
                                             milliseconds request_timeout);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_DEADLINE_LISTENER_HPP
