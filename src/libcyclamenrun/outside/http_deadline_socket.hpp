#ifndef CYCLAMENRUN_HTTP_DEADLINE_SOCKET_HPP
#define CYCLAMENRUN_HTTP_DEADLINE_SOCKET_HPP

#include "awake_clock.hpp"

#include <Poco/Net/StreamSocketImpl.h>

namespace cyclamenrun
{

/**
 * A client socket with one absolute deadline for all reads and writes. With
 * only a timeout for each read, a peer that sends single bytes slowly could
 * hold a call forever. Each read or write is also limited by the response
 * timeout. Reaching either limit in awake time throws Poco::TimeoutException.
 */
class http_deadline_socket : public Poco::Net::StreamSocketImpl
{
public:
    http_deadline_socket(time_point deadline, milliseconds response_timeout,
                         clock_function clock);

    int sendBytes(const void* buffer, int length, int flags = 0) override;
    int receiveBytes(void* buffer, int length, int flags = 0) override;

private:
    void wait_until_ready(int mode);

    time_point deadline_;
    milliseconds response_timeout_;
    clock_function clock_;
    awake_clock awake_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_DEADLINE_SOCKET_HPP
