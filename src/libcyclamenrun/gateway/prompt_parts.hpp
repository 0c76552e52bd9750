#ifndef CYCLAMENRUN_PROMPT_PARTS_HPP
#define CYCLAMENRUN_PROMPT_PARTS_HPP

#include "request_facts.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenrun
{

/**
 * Fingerprints of the parts that other requests may share: all but the last,
 * which belongs to the request or its session.
 */
std::vector<std::uint64_t>
shared_part_fingerprints(const std::vector<prompt_part>& parts);

/** Id of the part with this fingerprint; empty: there is none. */
std::string part_id_of(const std::vector<prompt_part>& parts,
                       std::uint64_t fingerprint);

/** Formats the ids of a prompt's first parts, in order, as they are logged. */
std::string prompt_parts_text(const std::vector<prompt_part>& parts);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PROMPT_PARTS_HPP
