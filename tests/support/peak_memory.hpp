#ifndef CYCLAMENRUN_TESTS_PEAK_MEMORY_HPP
#define CYCLAMENRUN_TESTS_PEAK_MEMORY_HPP

#include <cstddef>
#include <fstream>
#include <string>

namespace cyclamenrun::testing_support
{

/** Returns the most memory that a process has had resident, in megabytes. */
inline std::size_t peak_mb(int pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("VmHWM:"))
            return std::stoul(line.substr(6)) / 1024;
    return 0;
}

} // namespace cyclamenrun::testing_support

#endif // CYCLAMENRUN_TESTS_PEAK_MEMORY_HPP
