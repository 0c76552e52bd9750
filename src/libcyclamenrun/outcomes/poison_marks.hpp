#ifndef CYCLAMENRUN_POISON_MARKS_HPP
#define CYCLAMENRUN_POISON_MARKS_HPP

#include "link.pb.h"
#include "lost_run.hpp"
#include "part_clearance.hpp"
#include "solo_claims.hpp"

#include <cstddef>
#include <cstdint>

namespace cyclamenrun
{

// What a register of poison marks tells other processes, see
// docs/design/poison.md. Times are told as ages, since clocks differ.

link::PoisonMark make_loss_mark(const lost_run& run, time_point now);
lost_run read_loss_mark(const link::PoisonMark& mark, time_point now);

/** A loss that the request did not cause; `changed_at`: when that was found. */
link::PoisonMark make_cleared_mark(std::uint64_t fingerprint,
                                   std::uint64_t loss, time_point changed_at,
                                   time_point now);

link::PoisonMark make_clearance_mark(const part_clearance& clearance,
                                     time_point now);
part_clearance read_clearance_mark(const link::PoisonMark& mark,
                                   time_point now);

link::PoisonMark make_claim_mark(const solo_claim& claim, time_point now);
solo_claim read_claim_mark(const link::PoisonMark& mark, time_point now);

/** Time of the loss, the claim or the run that a mark tells of. */
time_point time_of(const link::PoisonMark& mark, time_point now);

/** Bytes that the mark takes in a message, at the most. */
std::size_t size_in_message(const link::PoisonMark& mark);

} // namespace cyclamenrun

#endif // CYCLAMENRUN_POISON_MARKS_HPP
