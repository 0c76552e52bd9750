#ifndef CYCLAMENRUN_BENCH_PATH_TARGET_HPP
#define CYCLAMENRUN_BENCH_PATH_TARGET_HPP

#include "path_samples.hpp"

#include <Poco/Net/SocketAddress.h>
#include <cstdint>
#include <string>

namespace cyclamenrun::bench
{

/** One of the two paths to the engine and its measurements. */
struct path_target {
    Poco::Net::SocketAddress address;
    std::string request;         ///< bytes of the HTTP request
    path_samples first_token;    ///< from connect, in milliseconds
    path_samples between_tokens; ///< in milliseconds
    std::uint64_t tokens = 0;
    std::uint64_t complete = 0; ///< streams received to the end
    std::uint64_t broken = 0;   ///< streams refused or cut
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_TARGET_HPP
