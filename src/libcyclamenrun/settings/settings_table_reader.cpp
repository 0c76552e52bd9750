#include "settings_table_reader.hpp"

#include <algorithm>
#include <optional>

namespace cyclamenrun
{

namespace
{

using optional_problem = std::optional<settings_problem>;

bool in_range(const settings_row& row, double number)
{
    return number >= row.minimum && number <= row.maximum;
}

/** Names, paths and addresses must not contain control characters. */
bool is_printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character >= 0x20 && character != 0x7f;
    });
}

/** Stores one value in a row's target, or returns why it is rejected. */
class value_reader
{
public:
    value_reader(const settings_row& row, const toml::node& node)
        : row_(row), node_(node)
    {
    }

    optional_problem operator()(std::string* target) const
    {
        const auto text = node_.value_exact<std::string>();
        if (!text)
            return settings_problem::wrong_type;
        if (!in_range(row_, static_cast<double>(text->size())) ||
            !is_printable(*text))
            return settings_problem::not_allowed;
        *target = *text;
        return {};
    }

    optional_problem operator()(std::uint64_t* target) const
    {
        const auto number = node_.value_exact<std::int64_t>();
        if (!number)
            return settings_problem::wrong_type;
        if (!in_range(row_, static_cast<double>(*number)))
            return settings_problem::not_allowed;
        *target = static_cast<std::uint64_t>(*number);
        return {};
    }

    optional_problem operator()(double* target) const
    {
        const auto number = node_.value<double>();
        if (!number || !node_.is_number())
            return settings_problem::wrong_type;
        if (!in_range(row_, *number))
            return settings_problem::not_allowed;
        *target = *number;
        return {};
    }

    optional_problem operator()(bool* target) const
    {
        const auto flag = node_.value_exact<bool>();
        if (!flag)
            return settings_problem::wrong_type;
        *target = *flag;
        return {};
    }

    optional_problem operator()(milliseconds* target) const
    {
        std::uint64_t number = 0;
        const auto problem = (*this)(&number);
        if (!problem)
            *target = milliseconds(number);
        return problem;
    }

    optional_problem operator()(ip_endpoint* target) const
    {
        return parse_text(target, parse_ip_endpoint);
    }

    optional_problem operator()(log_severity* target) const
    {
        return parse_text(target, parse_log_severity);
    }

    optional_problem operator()(upstream_kind* target) const
    {
        return parse_text(target, parse_upstream_kind);
    }

    optional_problem operator()(secret* target) const
    {
        std::string text;
        const auto problem = (*this)(&text);
        if (!problem)
            *target = secret(std::move(text));
        return problem;
    }

    optional_problem operator()(std::vector<std::string>* target) const
    {
        const auto* list = node_.as_array();
        if (list == nullptr)
            return settings_problem::wrong_type;
        if (!in_range(row_, static_cast<double>(list->size())))
            return settings_problem::not_allowed;
        for (const auto& element : *list) {
            const auto text = element.value_exact<std::string>();
            if (!text)
                return settings_problem::wrong_type;
            target->push_back(*text);
        }
        return {};
    }

    optional_problem operator()(std::vector<key_hash>* target) const
    {
        std::vector<std::string> texts;
        const auto problem = (*this)(&texts);
        if (problem)
            return problem;
        for (const auto& text : texts) {
            const auto hash = parse_key_hash(text);
            if (!hash)
                return settings_problem::not_allowed;
            target->push_back(*hash);
        }
        return {};
    }

private:
    template <typename Value, typename Parser>
    optional_problem parse_text(Value* target, Parser parser) const
    {
        const auto text = node_.value_exact<std::string>();
        if (!text)
            return settings_problem::wrong_type;
        const auto value = parser(*text);
        if (!value)
            return settings_problem::not_allowed;
        *target = *value;
        return {};
    }

    const settings_row& row_;
    const toml::node& node_;
};

} // namespace

settings_table_reader::settings_table_reader(const settings_table& table,
                                             const std::string& file,
                                             std::string key_prefix)
    : table_(table), file_(file), key_prefix_(std::move(key_prefix))
{
}

settings_errors settings_table_reader::read(const toml::table& document,
                                            std::uint32_t line)
{
    read_level(document, {});
    for (const auto& row : table_) {
        if (row.presence == settings_presence::required &&
            !seen_.contains(row.key))
            report(settings_problem::missing, line, row.key,
                   allowed_values(row));
    }
    return std::move(errors_);
}

// toml++ limits nesting to 256 levels, and sections that the settings table
// does not contain are not entered, so the table's keys bound the depth.
void settings_table_reader::read_level(
    const toml::table& level, // NOLINT(misc-no-recursion)
    const std::string& prefix)
{
    for (const auto& [name, node] : level) {
        const auto key = prefix + std::string(name.str());
        const auto line = name.source().begin.line;
        const auto* row = find_row(key);
        const auto* inner = node.as_table();
        if (row != nullptr)
            read_value(*row, node, line);
        else if (inner != nullptr && is_section(key))
            read_level(*inner, key + '.');
        else
            report(settings_problem::unknown_key, line, key,
                   known_keys_in(prefix));
    }
}

void settings_table_reader::read_value(const settings_row& row,
                                       const toml::node& node,
                                       std::uint32_t line)
{
    seen_.insert(row.key);
    const auto problem = std::visit(value_reader(row, node), row.target);
    if (problem)
        report(*problem, line, row.key, allowed_values(row));
}

const settings_row* settings_table_reader::find_row(std::string_view key) const
{
    for (const auto& row : table_) {
        if (row.key == key)
            return &row;
    }
    return nullptr;
}

bool settings_table_reader::is_section(const std::string& key) const
{
    return std::any_of(table_.begin(), table_.end(), [&](const auto& row) {
        return row.key.starts_with(key + '.');
    });
}

std::string
settings_table_reader::known_keys_in(const std::string& prefix) const
{
    std::string keys;
    for (const auto& row : table_) {
        if (!row.key.starts_with(prefix))
            continue;
        keys += keys.empty() ? "known are " : ", ";
        keys += row.key;
    }
    return keys;
}

void settings_table_reader::report(settings_problem what, std::uint32_t line,
                                   std::string_view key, std::string detail)
{
    errors_.push_back(
        {what, file_, line, key_prefix_ + std::string(key), std::move(detail)});
}

} // namespace cyclamenrun
