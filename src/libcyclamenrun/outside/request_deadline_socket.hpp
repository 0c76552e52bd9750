#ifndef CYCLAMENRUN_REQUEST_DEADLINE_SOCKET_HPP
#define CYCLAMENRUN_REQUEST_DEADLINE_SOCKET_HPP

#include "clock.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <atomic>
#include <optional>

namespace cyclamenrun
{

/**
 * A server's connection whose client must send each request as a whole by a
 * deadline.
 *
 * Guards against a client that sends a byte now and then. A timeout for each
 * read never ends for it, and it holds a thread for as long as it likes; a
 * few such clients keep all others out. Here the time runs from the first
 * byte read of a request until something is sent back, however the bytes
 * come. It shows as Poco::TimeoutException.
 */
class request_deadline_socket : public Poco::Net::StreamSocketImpl
{
public:
    request_deadline_socket(poco_socket_t accepted, milliseconds limit);

    int sendBytes(const void* buffer, int length, int flags = 0) override;
    int receiveBytes(void* buffer, int length, int flags = 0) override;
    bool poll(const Poco::Timespan& timeout, int mode) override;
    int available() override;
    void setSendTimeout(const Poco::Timespan& timeout) override;

protected:
    ~request_deadline_socket() override;

private:
    void note_use();

    milliseconds limit_;
    std::optional<time_point> deadline_; ///< of the request being read
    /**
     * Orders each use before the end, which another thread may bring about.
     * POCO's count of references does so too, but within its own library,
     * where ThreadSanitizer does not see it and takes the end for a race.
     */
    std::atomic<bool> used_{false};
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_REQUEST_DEADLINE_SOCKET_HPP
