#ifndef CYCLAMENRUN_PROCESS_SETTINGS_HPP
#define CYCLAMENRUN_PROCESS_SETTINGS_HPP

#include "ip_endpoint.hpp"
#include "logging.hpp"
#include "secret.hpp"
#include "settings_row.hpp"

#include <string>

namespace cyclamenrun
{

/** Address and log name of the platform's services. */
struct platform_settings {
    ip_endpoint address;
    std::string log = "cyclamenrun"; ///< name of the append-only log
};

/** Settings that entries and agents have in common. */
struct process_settings {
    std::string name;
    std::string region;
    std::string failure_domain;
    log_settings log;
    secret link_key;           ///< at least `min_link_key_bytes` bytes
    std::string link_key_file; ///< file that link_key is read from, or empty
    platform_settings platform;
};

/** 256 bits, since the key is used for HMAC-SHA256. */
inline constexpr std::size_t min_link_key_bytes = 32;
inline constexpr std::size_t max_link_key_bytes = 1024;

/** Rows of the keys above the first section of the file. */
settings_table process_rows(process_settings& settings);
/** Rows of the section `[platform]`. */
settings_table platform_rows(process_settings& settings);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PROCESS_SETTINGS_HPP
