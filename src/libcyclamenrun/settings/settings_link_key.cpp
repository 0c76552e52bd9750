#include "settings_link_key.hpp"

#include "settings_file.hpp"

#include <filesystem>

namespace cyclamenrun
{

namespace
{

settings_errors one_error(settings_problem problem, const std::string& file,
                          std::string key, std::string detail)
{
    return {{problem, file, 0, std::move(key), std::move(detail)}};
}

std::string path_of(const std::string& key_file, const std::string& file)
{
    const auto folder = std::filesystem::path(file).parent_path();
    return (folder / key_file).string();
}

/** Removes line ends, which editors add and which are not part of the key. */
void trim_end(std::string& bytes)
{
    while (!bytes.empty() && (bytes.back() == '\n' || bytes.back() == '\r'))
        bytes.pop_back();
}

} // namespace

settings_errors resolve_link_key(process_settings& settings,
                                 const std::string& file)
{
    const bool has_key = !settings.link_key.empty();
    const bool has_file = !settings.link_key_file.empty();
    if (has_key && has_file)
        return one_error(settings_problem::contradictory, file, "link_key",
                         "link_key or link_key_file, not both");
    if (has_key)
        return {};
    if (!has_file)
        return one_error(settings_problem::missing, file, "link_key",
                         "link_key or link_key_file");
    auto bytes = read_settings_file(path_of(settings.link_key_file, file));
    if (!bytes)
        return bytes.error();
    trim_end(*bytes);
    if (bytes->size() < min_link_key_bytes ||
        bytes->size() > max_link_key_bytes)
        return one_error(settings_problem::not_allowed, file, "link_key_file",
                         "a file with a key of 32 to 1024 bytes");
    settings.link_key = secret(std::move(*bytes));
    return {};
}

} // namespace cyclamenrun
