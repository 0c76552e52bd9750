#include "kept_marks.hpp"

#include "message_reader.hpp"
#include "peers.pb.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <limits>

namespace cyclamenrun
{

namespace
{

constexpr int digits = 16;

struct key_prefix {
    mark_kind kind;
    std::string_view text;
};

constexpr std::array prefixes{
    key_prefix{mark_kind::request, "request-"},
    key_prefix{mark_kind::clearance, "part-"},
};

} // namespace

std::int64_t unix_now()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
        .count();
}

std::string mark_key_text(const mark_key& key)
{
    std::array<char, digits> hex{};
    const auto end = std::to_chars(hex.data(), hex.data() + hex.size(),
                                   key.fingerprint, digits)
                         .ptr;
    const std::string number(hex.data(), end);
    for (const auto& each : prefixes)
        if (each.kind == key.kind)
            return std::string(each.text) +
                   std::string(digits - number.size(), '0') + number;
    return {};
}

std::optional<mark_key> read_mark_key(std::string_view text)
{
    for (const auto& each : prefixes) {
        if (!text.starts_with(each.text))
            continue;
        const auto number = text.substr(each.text.size());
        mark_key key{each.kind, 0};
        const auto read =
            std::from_chars(number.data(), number.data() + number.size(),
                            key.fingerprint, digits);
        const bool is_whole = read.ec == std::errc() &&
                              read.ptr == number.data() + number.size() &&
                              number.size() == digits;
        return is_whole ? std::optional(key) : std::nullopt;
    }
    return std::nullopt;
}

std::string kept_marks_text(const std::vector<link::PoisonMark>& marks,
                            std::int64_t written_at)
{
    v1::KeptMarks kept;
    kept.set_written_at_ms(written_at);
    for (const auto& mark : marks)
        *kept.add_marks() = mark;
    return kept.SerializeAsString();
}

std::optional<std::vector<link::PoisonMark>>
read_kept_marks(std::string_view bytes, std::int64_t now)
{
    const auto kept = parse_message<v1::KeptMarks>(bytes);
    if (!kept || kept->marks().empty())
        return std::nullopt;
    const auto since = std::max<std::int64_t>(0, now - kept->written_at_ms());
    std::vector<link::PoisonMark> marks(kept->marks().begin(),
                                        kept->marks().end());
    for (auto& mark : marks)
        mark.set_age_ms(static_cast<std::uint32_t>(std::min<std::int64_t>(
            mark.age_ms() + since, std::numeric_limits<int>::max())));
    return marks;
}

} // namespace cyclamenrun
