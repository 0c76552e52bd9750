#include "parsed_log_line.hpp"

#include "http_json.hpp"

#include <Poco/DateTime.h>
#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/Timespan.h>
#include <algorithm>

namespace cyclamenrun
{

namespace
{

/**
 * Returns whether a JSON member is left out of parsed_log_line::fields: it has
 * a member of its own or, as the severity, is dropped.
 */
bool is_separate_member(const std::string& name)
{
    return name == "time" || name == "severity" || name == "process" ||
           name == "event" || name == "request_id";
}

std::optional<Poco::DateTime> parsed_time(const std::string& text)
{
    Poco::DateTime time;
    int zone = 0;
    if (!Poco::DateTimeParser::tryParse(
            Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, text, time, zone))
        return std::nullopt;
    return time;
}

} // namespace

std::string parsed_log_line::field(std::string_view name) const
{
    const auto found =
        std::find_if(fields.begin(), fields.end(),
                     [&](const auto& field) { return field.first == name; });
    return found == fields.end() ? std::string() : found->second;
}

std::optional<parsed_log_line> parse_log_line(const std::string& line)
{
    const auto begin = line.find('{');
    if (begin == std::string::npos)
        return std::nullopt;
    const auto object = parse_json_object(line.substr(begin));
    if (!object)
        return std::nullopt;
    const auto time = json_string(*object, "time");
    const auto event = json_string(*object, "event");
    if (!time || !event)
        return std::nullopt;
    parsed_log_line parsed_line;
    parsed_line.time = *time;
    parsed_line.event = *event;
    parsed_line.process = json_string(*object, "process").value_or("");
    parsed_line.request_id = json_string(*object, "request_id").value_or("");
    for (const auto& name : object->getNames()) {
        if (!is_separate_member(name))
            parsed_line.fields.emplace_back(name, object->get(name).toString());
    }
    return parsed_line;
}

std::optional<long long> ms_between(const std::string& earlier,
                                    const std::string& later)
{
    const auto from = parsed_time(earlier);
    const auto to = parsed_time(later);
    if (!from || !to)
        return std::nullopt;
    return (*to - *from).totalMilliseconds();
}

std::string time_before(const std::string& time, long long ms)
{
    const auto parsed = parsed_time(time);
    if (!parsed)
        return time;
    const auto earlier =
        *parsed - Poco::Timespan(ms * Poco::Timespan::MILLISECONDS);
    return Poco::DateTimeFormatter::format(earlier, "%Y-%m-%dT%H:%M:%S.%iZ");
}

} // namespace cyclamenrun
