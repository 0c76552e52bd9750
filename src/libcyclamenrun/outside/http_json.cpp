#include "http_json.hpp"

#include "rejected_messages.hpp"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <sstream>

namespace cyclamenrun
{
namespace
{

/** Deeper nesting could exhaust the parser's stack. */
constexpr int max_nesting = 32;

} // namespace

Poco::JSON::Object::Ptr parse_json_object(const std::string& text)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(max_nesting);
        const auto value = parser.parse(text);
        if (value.type() != typeid(Poco::JSON::Object::Ptr))
            return {};
        return value.extract<Poco::JSON::Object::Ptr>();
    } catch (const std::exception&) {
        return {};
    }
}

std::optional<std::string> json_string(const Poco::JSON::Object& object,
                                       const std::string& name)
{
    const auto value = object.get(name);
    if (!value.isString())
        return {};
    return value.extract<std::string>();
}

std::optional<std::uint64_t> json_u64(const Poco::JSON::Object& object,
                                      const std::string& name,
                                      std::uint64_t most)
{
    const auto value = object.get(name);
    if (!value.isInteger())
        return {};
    try {
        const auto number = value.convert<std::uint64_t>();
        if (number <= most)
            return number;
        process_rejected_messages().record(
            {message_problem::out_of_range, "json", name});
        return {};
    } catch (const Poco::Exception&) {
        return {}; // negative
    }
}

Poco::JSON::Object::Ptr json_object(const Poco::JSON::Object& object,
                                    const std::string& name)
{
    return object.getObject(name);
}

Poco::JSON::Array::Ptr json_array(const Poco::JSON::Object& object,
                                  const std::string& name)
{
    return object.getArray(name);
}

std::string to_string(const Poco::JSON::Object& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

} // namespace cyclamenrun
