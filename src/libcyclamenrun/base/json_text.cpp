#include "json_text.hpp"

#include <Poco/JSONString.h>
#include <Poco/TextConverter.h>
#include <Poco/UTF8Encoding.h>

namespace cyclamenrun
{

namespace
{

constexpr int replacement_character = 0xfffd;

/** Replaces bytes that are not valid UTF-8 with U+FFFD. */
std::string valid_utf8(std::string_view text)
{
    const Poco::UTF8Encoding utf8;
    Poco::TextConverter converter(utf8, utf8, replacement_character);
    std::string valid;
    converter.convert(text.data(), static_cast<int>(text.size()), valid);
    return valid;
}

} // namespace

std::string json_quoted(std::string_view text)
{
    return Poco::toJSON(valid_utf8(text), Poco::JSON_WRAP_STRINGS);
}

std::string json_list(const std::set<std::string>& texts)
{
    std::string list = "[";
    for (const auto& text : texts) {
        if (list.size() > 1)
            list += ',';
        list += json_quoted(text);
    }
    list += ']';
    return list;
}

} // namespace cyclamenrun
