#ifndef CYCLAMENRUN_REQUEST_DEADLINE_SOCKET_HPP
#define CYCLAMENRUN_REQUEST_DEADLINE_SOCKET_HPP

#include "awake_clock.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <atomic>
#include <optional>

namespace cyclamenrun
{

/**
 * A server connection whose client must send each whole request by a deadline.
 *
 * Guards against clients that send single bytes slowly. A timeout for each
 * read never expires for them, so each can hold a thread indefinitely, and a
 * few such clients block all others. Here the time runs from the first
 * read of a request until the server sends data. A read that reaches the
 * deadline in awake time throws Poco::TimeoutException.
 */
class request_deadline_socket : public Poco::Net::StreamSocketImpl
{
public:
    request_deadline_socket(poco_socket_t accepted,
                            milliseconds request_timeout);

    int sendBytes(const void* buffer, int length, int flags = 0) override;
    int receiveBytes(void* buffer, int length, int flags = 0) override;
    bool poll(const Poco::Timespan& timeout, int mode) override;
    int available() override;
    void setSendTimeout(const Poco::Timespan& timeout) override;

protected:
    ~request_deadline_socket() override;

private:
    void record_use();

    milliseconds request_timeout_;
    awake_clock awake_{steady_now()};
    /** Of the request being read, in awake time. */
    std::optional<time_point> deadline_;
    /**
     * Orders each use before the destructor, which another thread may run.
     * POCO's reference count orders them as well, but ThreadSanitizer does not
     * see inside its library and would report the destructor as a race.
     */
    std::atomic<bool> used_{false};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_DEADLINE_SOCKET_HPP
