#include "settings_reader.hpp"

#include "settings_table_reader.hpp"

namespace cyclamenrun
{

namespace
{

settings_errors syntax_error(const toml::parse_error& error,
                             const std::string& file)
{
    return {{settings_problem::syntax,
             file,
             error.source().begin.line,
             {},
             std::string(error.description())}};
}

} // namespace

settings_errors read_settings(const settings_table& table,
                              std::string_view text, const std::string& file)
{
    const auto document = toml::parse(text, file);
    if (!document)
        return syntax_error(document.error(), file);
    return settings_table_reader(table, file).read(document.table());
}

} // namespace cyclamenrun
