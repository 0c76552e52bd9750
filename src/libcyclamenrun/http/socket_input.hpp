#ifndef CYCLAMENRUN_SOCKET_INPUT_HPP
#define CYCLAMENRUN_SOCKET_INPUT_HPP

#include <sys/ioctl.h>

namespace cyclamenrun
{

/** True if the socket has received bytes that were not read yet. */
inline bool has_input(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, FIONREAD, &bytes) == 0 && bytes > 0;
}

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SOCKET_INPUT_HPP
