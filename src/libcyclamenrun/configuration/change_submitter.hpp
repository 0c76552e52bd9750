#ifndef CYCLAMENRUN_CHANGE_SUBMITTER_HPP
#define CYCLAMENRUN_CHANGE_SUBMITTER_HPP

#include "clock.hpp"
#include "configuration_store.hpp"
#include "operator.pb.h"
#include "platform_log.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenrun
{

/** The next action that a change_submitter requires of its owner. */
enum class submit_step : std::uint8_t {
    append, ///< append record() to the log, then call on_append()
    wait,   ///< wait until wake_at() or until the configuration advances
    done,   ///< return result() to the operator
};

/** Delays between two attempts to append a change. */
struct submit_settings {
    milliseconds resend_delay{2000}; ///< after an append without an answer
    milliseconds retry_delay{200};   ///< after the log refused an append
};

/**
 * Submits one change to the log and determines its outcome. The result is
 * "accepted" only after the record has been read back and applied, and
 * "conflict" or "invalid" only when no copy of the record can take effect any
 * more. In all other cases the result is "unknown".
 */
class change_submitter
{
public:
    change_submitter(v1::ChangeRecord change, time_point deadline,
                     submit_settings settings = {});

    /** Returns the next action, given the current state of the change. */
    submit_step next(const change_progress& progress, time_point now);
    /** Handles the log's answer to an append of record(). */
    void on_append(const tl::expected<std::uint64_t, log_error>& answer,
                   time_point now);

    const std::string& record() const { return record_; }
    const v1::ChangeRecord& change() const { return change_; }
    /** Returns when next() must be called again at the latest. */
    time_point wake_at() const;

    /** Returns the response to the operator once next() returned `done`. */
    const v1::ApplyChangeResponse& result() const { return result_; }

private:
    bool finish_if_decided(const change_progress& progress);
    void finish_with_outcome(const v1::ChangeOutcome& known,
                             const change_progress& progress);
    void finish_with_conflict(const change_progress& progress);
    void finish_at_deadline();

    v1::ChangeRecord change_;
    std::string record_;
    time_point deadline_;
    submit_settings settings_;
    time_point next_append_at_{};
    std::optional<std::uint64_t> offset_;
    bool done_ = false;
    v1::ApplyChangeResponse result_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CHANGE_SUBMITTER_HPP
