#ifndef CYCLAMENRUN_BENCH_PATH_SETTINGS_HPP
#define CYCLAMENRUN_BENCH_PATH_SETTINGS_HPP

#include <Poco/Net/SocketAddress.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun::bench
{

/** What a run of the path's measure does. */
struct path_settings {
    Poco::Net::SocketAddress direct;  ///< an engine
    Poco::Net::SocketAddress through; ///< an entry that leads to it
    std::size_t streams = 1;          ///< open at once to each of the two
    std::chrono::seconds time{10};
    std::string key;   ///< the team's
    std::string model; ///< the service's name
    std::uint64_t prompt_words = 50;
    std::uint64_t output_tokens = 60;
    std::vector<int> processes; ///< whose memory is read
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_SETTINGS_HPP
