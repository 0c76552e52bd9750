#include "suspected_work.hpp"

#include "digest.hpp"

#include <algorithm>
#include <utility>

namespace cyclamenrun
{

namespace
{

/** Keeps fingerprints of parts apart from those of whole requests. */
constexpr std::uint64_t part_seed = 0x70617274;

} // namespace

suspected_work::suspected_work(std::uint64_t request_fingerprint,
                               std::vector<std::uint64_t> part_fingerprints)
    : request(request_fingerprint), parts(std::move(part_fingerprints))
{
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    parts.resize(std::min(parts.size(), max_suspected_parts));
}

std::uint64_t prompt_part_fingerprint(std::string_view id)
{
    return hash64(id, part_seed);
}

} // namespace cyclamenrun
