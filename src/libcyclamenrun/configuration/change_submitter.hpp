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

/** What the owner of a change_submitter does next. */
enum class submit_step : std::uint8_t {
    append, ///< append record(), then call on_append()
    wait,   ///< until wake_at() or the configuration advances
    done,   ///< answer with result()
};

/** How long a submitter waits between attempts. */
struct submit_settings {
    milliseconds resend_after{2000}; ///< after an answer that got lost
    milliseconds retry_after{200};   ///< after a refusal of the log
};

/**
 * Takes one change to its outcome. It tells accepted only after the record
 * has been read back and seen to apply, and refused only when no copy of the
 * record can come into force any more; all else is unknown.
 */
class change_submitter
{
public:
    change_submitter(v1::ChangeRecord change, time_point deadline,
                     submit_settings settings = {});

    submit_step next(const change_progress& progress, time_point now);
    void on_append(const tl::expected<std::uint64_t, log_error>& answer,
                   time_point now);

    const std::string& record() const { return record_; }
    const v1::ChangeRecord& change() const { return change_; }
    time_point wake_at() const;

    const v1::ApplyChangeResponse& result() const { return result_; }

private:
    bool settle(const change_progress& progress);
    void finish_by(const v1::ChangeOutcome& known,
                   const change_progress& progress);
    void finish_conflict(const change_progress& progress);
    void finish_at_deadline();

    v1::ChangeRecord change_;
    std::string record_;
    time_point deadline_;
    submit_settings settings_;
    time_point append_at_{};
    std::optional<std::uint64_t> offset_;
    bool done_ = false;
    v1::ApplyChangeResponse result_;
};

} // namespace cyclamenrun

#endif // CYCLAMENRUN_CHANGE_SUBMITTER_HPP
