#include "settings_row.hpp"

#include <array>
#include <cmath>
#include <sstream>

namespace cyclamenrun
{

namespace
{

std::string number_text(double number)
{
    std::ostringstream text;
    text.precision(15);
    text << number;
    return text.str();
}

/** Formats a number as a TOML float, which needs a decimal point. */
std::string float_text(double number)
{
    auto text = number_text(number);
    if (text.find_first_of(".e") == std::string::npos)
        text += ".0";
    return text;
}

std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\')
            result += '\\';
        result += character;
    }
    return result + '"';
}

std::string range_text(const settings_row& row)
{
    return number_text(row.minimum) + " to " + number_text(row.maximum);
}

/** Visits a row's target; implements type_of(). */
struct type_name {
    std::string operator()(const std::string*) const { return "text"; }
    std::string operator()(const std::uint64_t*) const { return "integer"; }
    std::string operator()(const double*) const { return "number"; }
    std::string operator()(const bool*) const { return "true or false"; }
    std::string operator()(const milliseconds*) const { return "integer"; }
    std::string operator()(const ip_endpoint*) const { return "IP:PORT"; }
    std::string operator()(const secret*) const { return "key"; }
    std::string operator()(const std::vector<key_hash>*) const
    {
        return "list of texts";
    }
    std::string operator()(const std::vector<std::string>*) const
    {
        return "list of texts";
    }
    std::string operator()(const log_severity*) const { return "word"; }
    std::string operator()(const upstream_kind*) const { return "word"; }
};

/** Visits a row's target; describes the allowed values. */
struct allowed_text {
    const settings_row& row;

    std::string operator()(const std::string*) const
    {
        return "text of " + range_text(row) + " bytes";
    }
    std::string operator()(const std::uint64_t*) const
    {
        return "integer from " + range_text(row);
    }
    std::string operator()(const double*) const
    {
        return "number from " + range_text(row);
    }
    std::string operator()(const bool*) const { return "true or false"; }
    std::string operator()(const milliseconds*) const
    {
        return "integer from " + range_text(row);
    }
    std::string operator()(const ip_endpoint*) const
    {
        return "\"IP:PORT\" with a numeric IP address, such as "
               "\"127.0.0.1:8080\"";
    }
    std::string operator()(const secret*) const
    {
        return "key of " + range_text(row) + " bytes";
    }
    std::string operator()(const std::vector<key_hash>*) const
    {
        return "list of " + range_text(row) +
               " texts SALT:HASH from `cyclamenrunctl key new`";
    }
    std::string operator()(const std::vector<std::string>*) const
    {
        return "list of " + range_text(row) + " texts";
    }
    std::string operator()(const log_severity*) const
    {
        return "\"info\", \"warning\" or \"error\"";
    }
    std::string operator()(const upstream_kind*) const
    {
        return "\"model\" or \"application\"";
    }
};

/** Visits a row's target; formats its value as TOML. */
struct value_text {
    std::string operator()(const std::string* text) const
    {
        return quoted(*text);
    }
    std::string operator()(const std::uint64_t* number) const
    {
        return std::to_string(*number);
    }
    std::string operator()(const double* number) const
    {
        return float_text(*number);
    }
    std::string operator()(const bool* flag) const
    {
        return *flag ? "true" : "false";
    }
    std::string operator()(const milliseconds* time) const
    {
        return std::to_string(time->count());
    }
    std::string operator()(const ip_endpoint* endpoint) const
    {
        return quoted(endpoint->host.empty() ? "" : to_string(*endpoint));
    }
    std::string operator()(const secret* key) const
    {
        return quoted(key->empty() ? "" : hidden_secret);
    }
    std::string operator()(const std::vector<key_hash>* hashes) const
    {
        std::string list;
        for (const auto& hash : *hashes)
            list += (list.empty() ? "" : ", ") + quoted(to_string(hash));
        return '[' + list + ']';
    }
    std::string operator()(const std::vector<std::string>* texts) const
    {
        std::string list;
        for (const auto& text : *texts)
            list += (list.empty() ? "" : ", ") + quoted(text);
        return '[' + list + ']';
    }
    std::string operator()(const log_severity* severity) const
    {
        return quoted(name_of(*severity));
    }
    std::string operator()(const upstream_kind* kind) const
    {
        return quoted(name_of(*kind));
    }
};

} // namespace

std::string type_of(const settings_row& row)
{
    return std::visit(type_name(), row.target);
}

std::string allowed_values(const settings_row& row)
{
    auto text = std::visit(allowed_text{row}, row.target);
    const bool ends_with_bytes = text.ends_with("bytes");
    if (row.unit.empty() || (ends_with_bytes && row.unit == "bytes"))
        return text;
    return text + ' ' + std::string(row.unit);
}

std::string value_of(const settings_row& row)
{
    return std::visit(value_text(), row.target);
}

} // namespace cyclamenrun
