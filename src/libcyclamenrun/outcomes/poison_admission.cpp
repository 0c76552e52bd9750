#include "poison_admission.hpp"

#include <utility>

namespace cyclamenrun
{

namespace
{

void take_claim(poison_register& marks, const suspected_work& work,
                solo_run& claim, const claim_terms& terms, time_point now)
{
    // All that have waited for the same claim may take one now.
    const bool confirms =
        claim.has_waited || marks.needs_confirmed_claim(work, now);
    claim.id = terms.id;
    claim.confirmed_at = now + (confirms ? terms.news_time : milliseconds(0));
    claim.is_trial = marks.verdict(work, now) == poison_verdict::poison;
    claim.tested_parts = marks.parts_to_test(work, now);
    claim.whole_request = marks.is_request_suspected(work.request, now);
    marks.claim_solo(work, claim.id, now);
}

} // namespace

poison_admission admit_send(poison_register& marks, const suspected_work& work,
                            solo_run& claim, const claim_terms& terms,
                            time_point now)
{
    const auto verdict = marks.verdict(work, now);
    const bool is_poison = verdict == poison_verdict::poison;
    if (verdict == poison_verdict::clean) {
        end_solo(marks, claim);
        return poison_admission::allowed;
    }
    const bool convicted_since = is_poison && !claim.is_trial;
    if (claim.id != 0 &&
        (convicted_since || marks.is_solo_beaten(claim.id, now)))
        end_solo(marks, claim);
    if (claim.id == 0) {
        if (is_poison && now < marks.next_trial(work, now))
            return poison_admission::refused;
        if (!is_poison && now < marks.test_time(work, now))
            return poison_admission::wait;
        if (marks.is_solo_claimed(work, now)) {
            claim.has_waited = true;
            return is_poison ? poison_admission::refused
                             : poison_admission::wait;
        }
        take_claim(marks, work, claim, terms, now);
    }
    if (now < claim.confirmed_at)
        return poison_admission::wait;
    return claim.is_trial ? poison_admission::trial : poison_admission::solo;
}

suspected_work accused_work(const suspected_work& work, const solo_run& claim)
{
    return claim.tested_parts.empty()
               ? work
               : suspected_work(work.request, claim.tested_parts);
}

void end_solo(poison_register& marks, solo_run& claim)
{
    const auto ended = std::exchange(claim, {});
    if (ended.id != 0)
        marks.release_solo(ended.id);
}

std::string describe(const poison_grounds& why)
{
    return std::to_string(why.losses) + " upstreams were lost while they ran " +
           (why.kind == suspect_kind::request
                ? "this request"
                : "requests with a part of this prompt");
}

} // namespace cyclamenrun
