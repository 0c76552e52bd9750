#include "settings_file.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace cyclamenrun
{

namespace
{

settings_errors unreadable(const std::string& path, std::string why)
{
    return {{settings_problem::unreadable, path, 0, {}, std::move(why)}};
}

} // namespace

settings_outcome<std::string> read_settings_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return tl::unexpected(unreadable(path, std::strerror(errno)));
    std::string bytes(max_settings_file_bytes + 1, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    if (file.bad() || (file.fail() && !file.eof()))
        return tl::unexpected(unreadable(path, "not a readable file"));
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    if (bytes.size() > max_settings_file_bytes)
        return tl::unexpected(unreadable(path, "larger than 1048576 bytes"));
    return bytes;
}

} // namespace cyclamenrun
