#ifndef CYCLAMENRUN_HTTP_DEADLINE_SOCKET_HPP
#define CYCLAMENRUN_HTTP_DEADLINE_SOCKET_HPP

#include "clock.hpp"

#include <Poco/Net/StreamSocketImpl.h>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/**
 * A socket under one absolute deadline. A timeout for each read would let a
 * peer that sends a byte now and then hold a call for ever; here all reads
 * and writes together end by the deadline, and none waits longer than the
 * silence allowed. Both show as Poco::TimeoutException.
 */
class http_deadline_socket : public Poco::Net::StreamSocketImpl
{
public:
    http_deadline_socket(time_point deadline, milliseconds max_silence,
                         clock_function clock);

    int sendBytes(const void* buffer, int length, int flags = 0) override;
    int receiveBytes(void* buffer, int length, int flags = 0) override;

    /** The peer has closed, and a read has met that. */
    bool closed_by_peer() const { return closed_by_peer_; }
    /** The last few bytes that were read. */
    std::string_view tail() const { return tail_; }

private:
    void wait_until_ready(int mode);
    void note_received(std::string_view bytes);

    time_point deadline_;
    milliseconds max_silence_;
    clock_function clock_;
    bool closed_by_peer_ = false;
    std::string tail_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_DEADLINE_SOCKET_HPP
