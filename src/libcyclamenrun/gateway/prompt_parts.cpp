#include "prompt_parts.hpp"

#include "suspected_work.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

/** Bounds the length of a log line. */
constexpr std::size_t max_logged_parts = 16;

} // namespace

std::vector<std::uint64_t>
shared_part_fingerprints(const std::vector<prompt_part>& parts)
{
    std::vector<std::uint64_t> fingerprints;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        fingerprints.push_back(prompt_part_fingerprint(parts[i].id));
    return fingerprints;
}

std::string part_id_of(const std::vector<prompt_part>& parts,
                       std::uint64_t fingerprint)
{
    const auto found =
        std::find_if(parts.begin(), parts.end(), [&](const prompt_part& part) {
            return prompt_part_fingerprint(part.id) == fingerprint;
        });
    return found == parts.end() ? std::string() : found->id;
}

std::string prompt_parts_text(const std::vector<prompt_part>& parts)
{
    std::string text;
    for (std::size_t i = 0; i < parts.size() && i < max_logged_parts; ++i) {
        text += i == 0 ? "" : " ";
        text += parts[i].id;
    }
    if (parts.size() > max_logged_parts)
        text +=
            " and " + std::to_string(parts.size() - max_logged_parts) + " more";
    return text;
}

} // namespace cyclamenrun
