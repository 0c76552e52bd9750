#ifndef CYCLAMENRUN_BENCH_PATH_SETTINGS_HPP
#define CYCLAMENRUN_BENCH_PATH_SETTINGS_HPP

#include <Poco/Net/SocketAddress.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun::bench
{

/** Settings of a path measurement. */
struct path_settings {
    Poco::Net::SocketAddress direct;  ///< an engine
    Poco::Net::SocketAddress through; ///< an entry that routes to that engine
    std::size_t streams = 1;          ///< concurrent streams to each target
    std::chrono::seconds time{10};
    std::string key;   ///< bearer key of the team
    std::string model; ///< name of the service
    std::uint64_t prompt_words = 50;
    std::uint64_t output_tokens = 60;
    std::vector<int> pids; ///< ids of processes to measure
};

} // namespace cyclamenrun::bench

#endif // CYCLAMENRUN_BENCH_PATH_SETTINGS_HPP
