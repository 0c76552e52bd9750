#ifndef CYCLAMENRUN_PROMPT_PARTS_HPP
#define CYCLAMENRUN_PROMPT_PARTS_HPP

#include "request_facts.hpp"

#include <string>
#include <vector>

namespace cyclamenrun
{

/** Formats the ids of a prompt's first parts, in order, as they are logged. */
std::string prompt_parts_text(const std::vector<prompt_part>& parts);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_PROMPT_PARTS_HPP
