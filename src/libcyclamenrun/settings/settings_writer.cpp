#include "settings_writer.hpp"

namespace cyclamenrun
{

namespace
{

std::string_view section_of(const settings_row& row)
{
    const auto dot = row.key.rfind('.');
    return dot == std::string_view::npos ? std::string_view()
                                         : row.key.substr(0, dot);
}

std::string_view leaf_of(const settings_row& row)
{
    return row.key.substr(row.key.rfind('.') + 1);
}

/**
 * Returns whether the setting has no default, so that its line must be
 * commented out to keep the file valid.
 */
bool has_no_default(const settings_row& row, const std::string& value)
{
    return row.presence == settings_presence::required || value == "\"\"";
}

std::string default_text(const settings_row& row)
{
    if (row.presence == settings_presence::required)
        return "must be given";
    const auto value = value_of(row);
    return value == "\"\"" ? "none" : '`' + value + '`';
}

} // namespace

std::string write_settings(const settings_table& table)
{
    std::string text;
    std::string_view section;
    for (const auto& row : table) {
        if (section_of(row) != section) {
            section = section_of(row);
            text += "\n[" + std::string(section) + "]\n";
        }
        const auto value = value_of(row);
        text +=
            "# " + std::string(row.doc) + " (" + allowed_values(row) + ")\n";
        text += has_no_default(row, value) ? "# " : "";
        text += std::string(leaf_of(row)) + " = " + value + '\n';
    }
    return text;
}

std::string write_settings_reference(const settings_table& table)
{
    std::string text = "| key | allowed | default | meaning |\n"
                       "|---|---|---|---|\n";
    for (const auto& row : table) {
        text += "| `" + std::string(row.key) + "` | " + allowed_values(row) +
                " | " + default_text(row) + " | " + std::string(row.doc) +
                " |\n";
    }
    return text;
}

} // namespace cyclamenrun
