#ifndef CYCLAMENRUN_LINK_MESSAGES_HPP
#define CYCLAMENRUN_LINK_MESSAGES_HPP

#include "generation_id.hpp"
#include "link.pb.h"
#include "refusal.hpp"

namespace cyclamenrun
{

/** Conversions between internal types and the messages sent over links. */
void write_message(const generation_id& id, link::GenerationId& message);
generation_id read_message(const link::GenerationId& message);

void write_message(const refusal& why, link::Refused& message);
/**
 * Maps an unknown kind to outcome_unknown, and an unknown reason to internal. A
 * newer peer may send either; these two values assert the least.
 */
refusal read_message(const link::Refused& message);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_LINK_MESSAGES_HPP
