#ifndef CYCLAMENRUN_HTTP_JSON_HPP
#define CYCLAMENRUN_HTTP_JSON_HPP

#include "number_limits.hpp"

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** Parses a JSON object; null for other text or nesting over 32 levels. */
Poco::JSON::Object::Ptr parse_json_object(const std::string& text);

// The functions below return an empty value unless the member exists and has
// the requested type.

std::optional<std::string> json_string(const Poco::JSON::Object& object,
                                       const std::string& name);
/** A whole number from 0 to `most`; empty for any other value. */
std::optional<std::uint64_t>
json_u64(const Poco::JSON::Object& object, const std::string& name,
         std::uint64_t most = number_limits::position);
Poco::JSON::Object::Ptr json_object(const Poco::JSON::Object& object,
                                    const std::string& name);
Poco::JSON::Array::Ptr json_array(const Poco::JSON::Object& object,
                                  const std::string& name);

std::string to_string(const Poco::JSON::Object& object);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_HTTP_JSON_HPP
