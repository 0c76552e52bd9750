#ifndef CYCLAMENRUN_LINK_MESSAGES_HPP
#define CYCLAMENRUN_LINK_MESSAGES_HPP

#include "generation_id.hpp"
#include "link.pb.h"
#include "refusal.hpp"

namespace cyclamenrun
{

/** Our own types as links carry them, and back. */
void write_message(const generation_id& id, link::GenerationId& message);
generation_id read_message(const link::GenerationId& message);

void write_message(const refusal& why, link::Refused& message);
/** What a newer peer says and this one does not know claims least. */
refusal read_message(const link::Refused& message);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_MESSAGES_HPP
