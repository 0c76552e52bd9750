#include "log_line.hpp"

#include "json_text.hpp"
#include "log_event.hpp"

#include <cmath>
#include <cstdio>
#include <ctime>

namespace cyclamenrun
{

namespace
{

/** RFC 3339 in UTC with milliseconds. */
std::string time_text(std::chrono::system_clock::time_point at)
{
    const auto since_epoch = at.time_since_epoch();
    const auto whole = std::chrono::floor<std::chrono::seconds>(since_epoch);
    const auto rest =
        std::chrono::duration_cast<milliseconds>(since_epoch - whole);
    const std::time_t seconds = whole.count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    const auto size =
        std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ",
                  static_cast<int>(rest.count()));
    return std::string(date.data(), size) + fraction.data();
}

/** Visits a field's value; formats it as JSON. */
struct value_text {
    std::string operator()(const std::string& text) const
    {
        const std::string_view all = text;
        return json_quoted(all.substr(0, max_log_text_bytes));
    }
    std::string operator()(std::int64_t number) const
    {
        return std::to_string(number);
    }
    std::string operator()(std::uint64_t number) const
    {
        return std::to_string(number);
    }
    std::string operator()(double number) const
    {
        // JSON cannot represent infinities and NaN.
        return std::isfinite(number) ? std::to_string(number) : "null";
    }
    std::string operator()(bool flag) const { return flag ? "true" : "false"; }
};

void append_member(std::string& line, std::string_view name,
                   const std::string& value)
{
    line += line.empty() ? "{\"" : ",\"";
    line += name;
    line += "\":";
    line += value;
}

} // namespace

std::string format_log_line(std::chrono::system_clock::time_point at,
                            std::string_view process, log_severity severity,
                            log_event_name event,
                            std::span<const log_field> fields)
{
    std::string line;
    append_member(line, "time", json_quoted(time_text(at)));
    append_member(line, "severity", json_quoted(name_of(severity)));
    append_member(line, "process", json_quoted(process));
    append_member(line, "event", json_quoted(name_of(event)));
    for (const auto& field : fields)
        append_member(line, name_of(field.key()),
                      std::visit(value_text(), field.value()));
    return line + '}';
}

} // namespace cyclamenrun
