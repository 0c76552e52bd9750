#include "state_dump.hpp"

#include "json_text.hpp"

#include <exception>
#include <sstream>

namespace cyclamenrun
{

namespace
{

std::string text_of(const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

std::string omission_marker(std::size_t bytes)
{
    Poco::JSON::Object object;
    object.set("omitted", true);
    object.set("bytes", bytes);
    return text_of(object);
}

} // namespace

state_dump::state_dump(std::size_t section_bytes)
    : section_bytes_(section_bytes)
{
}

void state_dump::add_section(std::string name, section_writer writer)
{
    const std::lock_guard lock(mutex_);
    sections_.push_back({std::move(name), std::move(writer)});
}

std::string state_dump::write() const
{
    std::vector<section> sections;
    {
        const std::lock_guard lock(mutex_);
        sections = sections_;
    }
    std::string dump;
    for (const auto& each : sections) {
        Poco::JSON::Object object;
        each.writer(object);
        auto text = text_of(object);
        if (text.size() > section_bytes_)
            text = omission_marker(text.size());
        dump += dump.empty() ? "{" : ",";
        dump += json_quoted(each.name) + ':' + text;
    }
    return dump.empty() ? "{}" : dump + '}';
}

} // namespace cyclamenrun
