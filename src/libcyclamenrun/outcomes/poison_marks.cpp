#include "poison_marks.hpp"

#include <algorithm>
#include <limits>
#include <vector>

namespace cyclamenrun
{

namespace
{

std::uint32_t to_ms(duration time)
{
    const auto ms = std::chrono::duration_cast<milliseconds>(time).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ms, 0, std::numeric_limits<int>::max()));
}

void write_parts(const suspected_work& work, link::PoisonMark& mark)
{
    mark.mutable_parts()->Add(work.parts.begin(), work.parts.end());
}

suspected_work read_work(const link::PoisonMark& mark)
{
    return suspected_work(mark.fingerprint(),
                          {mark.parts().begin(), mark.parts().end()});
}

} // namespace

link::PoisonMark make_loss_mark(const lost_run& run, time_point now)
{
    link::PoisonMark mark;
    mark.set_fingerprint(run.work.request);
    mark.set_loss(run.loss);
    mark.set_weak(run.stage == run_stage::settled);
    mark.set_waiting(run.stage == run_stage::waiting);
    mark.set_age_ms(to_ms(now - run.lost_at));
    mark.set_lasting_ms(to_ms(run.lost_at - run.sent_at));
    write_parts(run.work, mark);
    return mark;
}

lost_run read_loss_mark(const link::PoisonMark& mark, time_point now)
{
    lost_run run;
    run.work = read_work(mark);
    run.loss = mark.loss();
    run.stage = mark.weak()      ? run_stage::settled
                : mark.waiting() ? run_stage::waiting
                                 : run_stage::beginning;
    run.lost_at = time_of(mark, now);
    run.sent_at = run.lost_at - milliseconds(mark.lasting_ms());
    return run;
}

link::PoisonMark make_cleared_mark(std::uint64_t fingerprint,
                                   std::uint64_t loss, time_point changed_at,
                                   time_point now)
{
    link::PoisonMark mark;
    mark.set_fingerprint(fingerprint);
    mark.set_loss(loss);
    mark.set_cleared(true);
    mark.set_age_ms(to_ms(now - changed_at));
    return mark;
}

link::PoisonMark make_clearance_mark(const part_clearance& clearance,
                                     time_point now)
{
    link::PoisonMark mark;
    mark.set_fingerprint(clearance.part);
    mark.set_loss(clearance.run);
    mark.set_part_cleared(true);
    mark.set_number(clearance.number);
    mark.set_age_ms(to_ms(now - clearance.ran_at));
    return mark;
}

part_clearance read_clearance_mark(const link::PoisonMark& mark, time_point now)
{
    return {mark.fingerprint(), mark.number(), mark.loss(), time_of(mark, now)};
}

link::PoisonMark make_claim_mark(const solo_claim& claim, time_point now)
{
    link::PoisonMark mark;
    mark.set_fingerprint(claim.suspects.request);
    mark.set_loss(claim.id);
    mark.set_trial(true);
    mark.set_cleared(claim.released);
    mark.set_age_ms(to_ms(now - claim.began_at));
    mark.set_lasting_ms(to_ms(claim.expires_at - claim.began_at));
    write_parts(claim.suspects, mark);
    return mark;
}

solo_claim read_claim_mark(const link::PoisonMark& mark, time_point now)
{
    solo_claim claim;
    claim.id = mark.loss();
    claim.suspects = read_work(mark);
    claim.began_at = time_of(mark, now);
    claim.expires_at = claim.began_at + milliseconds(mark.lasting_ms());
    claim.released = mark.cleared();
    return claim;
}

time_point time_of(const link::PoisonMark& mark, time_point now)
{
    return now - milliseconds(mark.age_ms());
}

std::size_t size_in_message(const link::PoisonMark& mark)
{
    constexpr std::size_t bytes_without_parts = 40;
    constexpr std::size_t bytes_per_part = 8;
    return bytes_without_parts +
           bytes_per_part * static_cast<std::size_t>(mark.parts_size());
}

} // namespace cyclamenrun
