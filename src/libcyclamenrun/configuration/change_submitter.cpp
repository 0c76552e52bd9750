#include "change_submitter.hpp"

#include "change_validation.hpp"

#include <algorithm>

namespace cyclamenrun
{

namespace
{

void add_error(v1::Invalid& invalid, const field_error& error)
{
    auto* added = invalid.add_errors();
    added->set_field(error.field);
    added->set_problem(std::string(name_of(error.problem)) + ": " +
                       error.valid_values);
}

v1::ApplyChangeResponse invalid_for(const std::vector<field_error>& errors)
{
    v1::ApplyChangeResponse response;
    response.mutable_invalid();
    for (const auto& error : errors)
        add_error(*response.mutable_invalid(), error);
    return response;
}

/**
 * Returns why the change was found invalid. References are checked against the
 * current resources, which may have changed since the record was applied.
 */
std::vector<field_error>
validation_errors(const v1::ChangeRecord& change,
                  const configuration_resources& resources)
{
    auto errors = check_change(change);
    if (errors.empty())
        errors = check_references(change, resources);
    if (errors.empty())
        errors.push_back(
            {"resource", change_problem::unknown_reference,
             "references to resources that exist when the change is applied"});
    return errors;
}

bool may_have_been_appended(log_failure failure)
{
    return failure == log_failure::timed_out ||
           failure == log_failure::malformed;
}

} // namespace

change_submitter::change_submitter(v1::ChangeRecord change, time_point deadline,
                                   submit_settings settings)
    : change_(std::move(change)), record_(log_record_of(change_)),
      deadline_(deadline), settings_(settings)
{
    const auto errors = check_change(change_);
    if (errors.empty())
        return;
    result_ = invalid_for(errors);
    done_ = true;
}

submit_step change_submitter::next(const change_progress& progress,
                                   time_point now)
{
    if (done_ || finish_if_decided(progress))
        return submit_step::done;
    if (now >= deadline_) {
        finish_at_deadline();
        return submit_step::done;
    }
    if (!offset_ && now >= next_append_at_)
        return submit_step::append;
    return submit_step::wait;
}

void change_submitter::on_append(
    const tl::expected<std::uint64_t, log_error>& answer, time_point now)
{
    if (answer) {
        offset_ = *answer;
        return;
    }
    // The answer was lost, so the record may be on the log. A second copy is
    // harmless because readers detect duplicates by the change id; the delay
    // leaves time to read the first copy back.
    if (may_have_been_appended(answer.error().failure)) {
        next_append_at_ = now + settings_.resend_delay;
        return;
    }
    next_append_at_ =
        now + std::max(settings_.retry_delay, answer.error().retry_after);
}

time_point change_submitter::wake_at() const
{
    return offset_ ? deadline_ : std::min(next_append_at_, deadline_);
}

bool change_submitter::finish_if_decided(const change_progress& progress)
{
    if (progress.outcome) {
        finish_with_outcome(*progress.outcome, progress);
        return true;
    }
    // Revisions of a resource only increase, so a change whose base revision
    // is below the current one can never apply, even if copies of its record
    // reach the log later.
    if (progress.current &&
        progress.current->revision() > change_.base_revision()) {
        finish_with_conflict(progress);
        return true;
    }
    return false;
}

void change_submitter::finish_with_outcome(const v1::ChangeOutcome& known,
                                           const change_progress& progress)
{
    done_ = true;
    if (known.fingerprint() != fingerprint_of(change_)) {
        result_ = invalid_for({{"change_id", change_problem::duplicate,
                                "an id that no other change uses"}});
        return;
    }
    if (known.result() == v1::CHANGE_RESULT_CONFLICT) {
        finish_with_conflict(progress);
        return;
    }
    if (known.result() == v1::CHANGE_RESULT_INVALID) {
        result_ = invalid_for(validation_errors(change_, progress.resources));
        return;
    }
    v1::ApplyChangeResponse response;
    response.mutable_accepted()->set_revision(known.offset() + 1);
    result_ = std::move(response);
}

void change_submitter::finish_with_conflict(const change_progress& progress)
{
    done_ = true;
    v1::ApplyChangeResponse response;
    auto* conflict = response.mutable_conflict();
    if (progress.current) {
        conflict->set_current_revision(progress.current->revision());
        if (progress.current->has_resource())
            *conflict->mutable_winner() = progress.current->resource();
    }
    result_ = std::move(response);
}

void change_submitter::finish_at_deadline()
{
    done_ = true;
    // The outcome is unknown even if the log accepted no record from this
    // entry: the operator may have sent the same change through another entry
    // and lost that answer, and would take a refusal for the final outcome.
    v1::ApplyChangeResponse response;
    response.mutable_unknown()->set_change_id(change_.change_id());
    result_ = std::move(response);
}

} // namespace cyclamenrun
