#ifndef CYCLAMENRUN_SETTINGS_TABLE_READER_HPP
#define CYCLAMENRUN_SETTINGS_TABLE_READER_HPP

#include "settings_error.hpp"
#include "settings_row.hpp"
#include "toml_parser.hpp"

#include <set>
#include <string>
#include <string_view>

namespace cyclamenrun
{

/** Reads a TOML table into a settings table's targets and collects errors. */
class settings_table_reader
{
public:
    /** Errors contain `file` and the key, preceded by `key_prefix`. */
    settings_table_reader(const settings_table& table, const std::string& file,
                          std::string key_prefix = {});

    /** `line` is the line of the table, which is reported for missing keys. */
    settings_errors read(const toml::table& document, std::uint32_t line = 0);

private:
    void read_level(const toml::table& level, const std::string& prefix);
    void read_value(const settings_row& row, const toml::node& node,
                    std::uint32_t line);
    const settings_row* find_row(std::string_view key) const;
    bool is_section(const std::string& key) const;
    /** Lists the known keys of a section, for the report of an unknown one. */
    std::string known_keys_in(const std::string& prefix) const;
    void report(settings_problem what, std::uint32_t line, std::string_view key,
                std::string detail);

    const settings_table& table_;
    const std::string& file_;
    std::string key_prefix_;
    std::set<std::string_view> seen_;
    settings_errors errors_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_SETTINGS_TABLE_READER_HPP
